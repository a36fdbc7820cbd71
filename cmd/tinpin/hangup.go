package main

// SIGHUP says that the settings file has changed. One that comes before the daemon asks for signals would
// end it: by default the runtime ends a process that nobody has told what to do with SIGHUP, and on a small
// machine its start takes a while. So it is ignored from before the runtime starts; the settings are read
// after signals are asked for, and nothing is missed. SIGTERM stays as it is: before the daemon listens there
// is nothing to finish.

/*
#include <signal.h>

__attribute__((constructor)) static void tinpin_ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
