#ifndef TCP_H
#define TCP_H

#include "marlhoist.h"

/** tcp_listen() - a listening socket on loopback; sets @addr to its address. */
int tcp_listen(char addr[32]);
/** tcp_dial() - connects to a port on loopback. */
int tcp_dial(uint16_t port);
/** run_with_timeout() - runs @l until it is stopped; false: it timed out. */
bool run_with_timeout(struct mh_kern *k, struct mh_loop *l, int64_t timeout_us);

#endif
