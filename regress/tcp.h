#ifndef TCP_H
#define TCP_H

#include "marlhoist.h"

/** tcp_listen() - a listening socket on loopback; its address in @addr. */
int tcp_listen(char addr[32]);
/** tcp_dial() - a connection to a port of ours on loopback. */
int tcp_dial(uint16_t port);
/** run_most() - runs @l until it is stopped; false: nobody did in that time. */
bool run_most(struct mh_kern *k, struct mh_loop *l, int64_t most_us);

#endif
