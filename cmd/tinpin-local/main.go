// The tinpin-local command sets up a system on loopback with stand-ins for
// backends and platform, serves one request through it and, with -stay, keeps
// it for a look with the tools.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"tinpin/internal/localcluster"
)

func main() {
	stay := flag.Bool("stay", false, "keep the system running until interrupted")
	flag.Parse()
	if err := run(*stay); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "tinpin-local:", err)
		os.Exit(1)
	}
}

func run(stay bool) (err error) {
	folder, err := os.MkdirTemp("", "tinpin-local-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	system, err := localcluster.Start(folder, localcluster.Hosts())
	if err != nil {
		return err
	}
	defer system.Close()
	fmt.Println("3 controllers and 2 proxies started")
	if _, _, err = system.Operator(ctx, "POST", "/-/Config.Update", localcluster.InitialConfiguration); err != nil {
		return err
	}
	fmt.Println("configuration acknowledged")
	if err = system.Ready(ctx); err != nil {
		return err
	}
	response, err := system.Request(ctx, 0, "GET", "/hello/world", "")
	if err != nil {
		return err
	}
	fmt.Printf("GET /hello/world -> %d, stamp %s: %s", response.Status, response.Signature, response.Body)
	if !stay {
		return nil
	}
	fmt.Printf("\nfront       http://%s (Host: shop.example, a Tinpin-Request-Id each)\noperator    http://%s\n"+
		"tools       target/tinpin status -at %s\n",
		system.ProxySettings[0].FrontendAddress, system.ControllerSettings[0].ControlAddress,
		strings.Join(system.InternalAddresses(), ","))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	return nil
}
