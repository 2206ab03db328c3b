#ifndef NETFAKE_H
#define NETFAKE_H

#include "net.h"

/* What net.c and netfake.c share. */

#define KV_ANSWER_US 2000 /* "it answers in milliseconds" */
#define LIST_ANSWER_US 1000

struct wire;

/** net_deliver() - @m reaches @service of @to later, if it still runs. */
void net_deliver(struct net_node *to, const char *service, struct mh_msg *m,
    int64_t after_us, struct wire *wire, bool to_a);

/* netfake.c */
void net_free_value(void *arg);
void net_free_answer(void *arg);
void net_free_wait(void *arg);
void net_kv_wake(struct net *n, const char *name);
void net_kv_handle(void *self, struct mh_msg *m);
void net_vmlist_handle(void *self, struct mh_msg *in);
void net_endpoint_handle(void *self, struct mh_msg *in);
void net_http_handle(void *self, struct mh_msg *m);

#endif
