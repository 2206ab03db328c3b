#ifndef TCP_H
#define TCP_H

#include <stdint.h>

/** tcp_listen() - a listening socket on loopback; its address in @addr. */
int tcp_listen(char addr[32]);
/** tcp_dial() - a connection to a port of ours on loopback. */
int tcp_dial(uint16_t port);

#endif
