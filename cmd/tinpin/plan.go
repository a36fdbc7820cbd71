package main

var planCommand = command{name: "plan", usage: documentUsage("the day's plan", "its steps"), run: runDocument}
