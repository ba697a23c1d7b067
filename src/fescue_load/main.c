/*
 * fescue-load: drives a fleet with bounded load and checks what came of every call.
 */
#include <stdio.h>

int main(void)
{
	printf("fescue-load %s\n", FESCUEMILL_VERSION);
	return 0;
}
