package main

var retryCommand = command{
	name:  "retry",
	usage: documentUsage("the limit on retries", "how it is kept"),
	run:   runDocument,
}
