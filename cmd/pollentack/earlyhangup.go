package main

/*
#include <signal.h>
#include <string.h>

#ifdef __GLIBC__
// Ignores SIGHUP in a gateway until signal.Notify is called: the packages of the program are
// initialized before main, and a SIGHUP would end the process meanwhile. The settings are read
// later than that, so that nothing is missed.
__attribute__((constructor)) static void ignoreEarlyHangup(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "gateway") == 0)
		signal(SIGHUP, SIG_IGN);
}
#endif
*/
import "C"
