package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Action is what an event does.
type Action string

// The actions. Those on processes name a target as proxy/N or controller/N, those on
// backends as backend/N.
const (
	// Term sends SIGTERM, and SIGKILL once the grace period is over; the process
	// starts again shortly after its end.
	Term Action = "term"
	// TermTwice sends SIGTERM, and soon another.
	TermTwice Action = "term-twice"
	// TermStarting sends SIGKILL, and SIGTERM to the life that follows while it starts.
	TermStarting Action = "term-starting"
	// Kill sends SIGKILL.
	Kill Action = "kill"
	// PowerOff sends SIGKILL, and connections to the process hang until it starts again after For.
	PowerOff Action = "power-off"
	// HUP writes settings with the seeds in another order, and sends SIGHUP.
	HUP Action = "hup"
	// Freeze sends SIGSTOP, and SIGCONT after For.
	Freeze Action = "freeze"
	// Move sends the routes that move to the other service.
	Move Action = "move"
	// Retime changes time-outs and targets; they stay above what clients wait.
	Retime Action = "retime"
	// Idle changes the clients' idle time-out, BodyLimit how large a body may be.
	Idle      Action = "idle"
	BodyLimit Action = "body-limit"
	// AddRoute and DropRoute add a route, or drop the one added first.
	AddRoute  Action = "add-route"
	DropRoute Action = "drop-route"
	// Invalid sends a configuration that must be refused.
	Invalid Action = "invalid"
	// Race sends two contents under one version to two controllers at once.
	Race Action = "race"
	// Resend sends the last accepted change once more, to another controller.
	Resend Action = "resend"
	// Evacuate empties a zone for For.
	Evacuate Action = "evacuate"
	// Drain has the platform list a backend as draining; it ends, and another starts.
	Drain Action = "drain"
	// Slow makes a backend slower for For.
	Slow Action = "slow"
	// BreakOff has a backend break off some of its answers for For.
	BreakOff Action = "break-off"
	// Garble has a backend answer some requests, once they have run, with what is no response, for For.
	Garble Action = "garble"
	// Crash ends a backend's connections at once; it is back after For.
	Crash Action = "crash"
)

// actions that are known, with whether they have a target and a time.
var actions = map[Action]struct{ target, lasting bool }{
	Term: {target: true}, TermTwice: {target: true}, TermStarting: {target: true}, Kill: {target: true},
	HUP:    {target: true},
	Freeze: {target: true, lasting: true}, PowerOff: {target: true, lasting: true},
	Move: {}, Retime: {}, Idle: {}, BodyLimit: {}, AddRoute: {}, DropRoute: {}, Invalid: {}, Race: {}, Resend: {},
	Evacuate: {lasting: true},
	Drain:    {target: true}, Slow: {target: true, lasting: true}, BreakOff: {target: true, lasting: true},
	Garble: {target: true, lasting: true}, Crash: {target: true, lasting: true},
}

// Role of a target.
type Role string

// The roles.
const (
	ProxyRole      Role = "proxy"
	ControllerRole Role = "controller"
	BackendRole    Role = "backend"
)

// Target is one process or backend, by its number from 1 on.
type Target struct {
	Role   Role
	Number int
}

// String is the target as schedules write it.
func (t Target) String() string { return fmt.Sprintf("%s/%d", t.Role, t.Number) }

// Event is one line of a schedule.
type Event struct {
	At     time.Duration
	Action Action
	// Target is empty for what has none, For 0 for what takes no time.
	Target Target
	For    time.Duration
}

// String is the event as schedules write it.
func (e Event) String() string {
	text := fmt.Sprintf("%.3fs %s", e.At.Seconds(), e.Action)
	if actions[e.Action].target {
		text += " " + e.Target.String()
	}
	if actions[e.Action].lasting {
		text += fmt.Sprintf(" %.3fs", e.For.Seconds())
	}
	return text
}

// Schedule is a play before it begins.
type Schedule struct {
	Options
	Events []Event
}

// Write writes a schedule so that ReadSchedule reads it.
func (s Schedule) Write(to io.Writer) (err error) {
	text := fmt.Sprintf("soak 1\nseed %d\nfor %v\nshape %v\nproxies %d\ncontrollers %d\nbackends %d\nclients %d\n",
		s.Seed, s.Time, s.Shape, s.Size.Proxies, s.Size.Controllers, s.Size.Backends, s.Size.Clients)
	for _, event := range s.Events {
		text += event.String() + "\n"
	}
	_, err = io.WriteString(to, text)
	return Class.Wrap(err)
}

// ReadSchedule reads what Write wrote. An error names the line.
func ReadSchedule(from io.Reader) (s Schedule, err error) {
	lines := bufio.NewScanner(from)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if number == 1 && lines.Text() != "soak 1" {
			return s, Class.New("line 1: not a schedule of this version")
		}
		if err = s.readLine(fields); err != nil {
			return s, Class.New("line %d: %v", number, err)
		}
	}
	if err = lines.Err(); err != nil {
		return s, Class.Wrap(err)
	}
	sortEvents(s.Events)
	return s, nil
}

// sortEvents sorts events by time.
func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// readLine reads a line with its fields.
func (s *Schedule) readLine(fields []string) (err error) {
	if _, err = time.ParseDuration(fields[0]); err == nil {
		event, eventErr := readEvent(fields, s.Size)
		s.Events = append(s.Events, event)
		return eventErr
	}
	if len(fields) != 2 {
		return fmt.Errorf("what is %q?", strings.Join(fields, " "))
	}
	numbers := map[string]*int{
		"proxies": &s.Size.Proxies, "controllers": &s.Size.Controllers, "backends": &s.Size.Backends,
		"clients": &s.Size.Clients,
	}
	switch name, value := fields[0], fields[1]; name {
	case "soak":
		return nil
	case "seed":
		s.Seed, err = strconv.ParseUint(value, 10, 64)
	case "for":
		s.Time, err = time.ParseDuration(value)
	case "shape":
		s.Shape, err = ParseShape(value)
	default:
		into := numbers[name]
		if into == nil {
			return fmt.Errorf("what is %q?", name)
		}
		*into, err = strconv.Atoi(value)
	}
	return err
}

// readEvent reads an event of a system of some size.
func readEvent(fields []string, size Size) (event Event, err error) {
	if event.At, err = time.ParseDuration(fields[0]); err != nil || event.At < 0 || len(fields) < 2 {
		return event, fmt.Errorf("no event: %q", strings.Join(fields, " "))
	}
	event.Action = Action(fields[1])
	known, found := actions[event.Action]
	if !found {
		return event, fmt.Errorf("what is %q?", fields[1])
	}
	rest := fields[2:]
	if known.target {
		if len(rest) == 0 {
			return event, fmt.Errorf("%s wants a target", event.Action)
		}
		if event.Target, err = readTarget(rest[0], size); err != nil {
			return event, err
		}
		rest = rest[1:]
	}
	if known.lasting {
		if len(rest) == 0 {
			return event, fmt.Errorf("%s wants a time", event.Action)
		}
		if event.For, err = time.ParseDuration(rest[0]); err != nil || event.For <= 0 {
			return event, fmt.Errorf("no time: %q", rest[0])
		}
		rest = rest[1:]
	}
	if len(rest) > 0 {
		return event, fmt.Errorf("what is %q?", rest[0])
	}
	return event, nil
}

func readTarget(text string, size Size) (target Target, err error) {
	role, number, _ := strings.Cut(text, "/")
	limit := map[Role]int{
		ProxyRole: size.Proxies, ControllerRole: size.Controllers, BackendRole: size.Backends,
	}[Role(role)]
	target.Role = Role(role)
	if target.Number, err = strconv.Atoi(number); err != nil || target.Number < 1 || target.Number > limit {
		return target, fmt.Errorf("no target: %q", text)
	}
	return target, nil
}
