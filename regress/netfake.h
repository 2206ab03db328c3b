#ifndef NETFAKE_H
#define NETFAKE_H

#include "net.h"

/* Shared by net.c and netfake.c. */

#define KV_LATENCY_US 2000
#define KV_SLACK_US (2 * MH_US_PER_S) /* timeout of a watch beyond its wait */
#define LIST_LATENCY_US 1000

struct net_link;

/**
 * net_deliver() - posts @m to @service of @to after @after_us.
 * @link: the link that it passes, NULL: none
 * @to_a: whether @to is at end a of @link
 *
 * @m is dropped if @to has ended or restarted by then, or @link is closed or
 * drops frames to that end.
 */
void net_deliver(struct net_node *to, const char *service, struct mh_msg *m,
    int64_t after_us, struct net_link *link, bool to_a);

/* netfake.c */
void net_free_value(void *arg);
void net_free_response(void *arg);
void net_free_wait(void *arg);
void net_kv_wake(struct net *n, const char *name);
void net_kv_handle(void *self, struct mh_msg *m);
void net_vmlist_handle(void *self, struct mh_msg *in);
void net_endpoint_handle(void *self, struct mh_msg *in);
void net_http_handle(void *self, struct mh_msg *m);

#endif
