package main

var affinityCommand = command{
	name:  "affinity",
	usage: documentUsage("session affinity", "its sessions"),
	run:   runDocument,
}
