package main

var drainCommand = command{
	name: "drain",
	usage: append(documentUsage("the drain policy", "the retired backends"),
		[2]string{"retire [-wait TIME] ID", "send a backend no new callers"},
		[2]string{"restore ID", "take that back"},
	),
	details: `Retiring and restoring have no version. They are given a name, which is printed
where no answer is clear: -order NAME sends the same again.
`,
	run: runDocument,
}
