/* The users' interface: submit, status, cancel. */
#pragma once

#include "node/node.h"

void mm_api_submit(MmNode *node, const json_t *body, MmExchange *exchange);
void mm_api_status(MmNode *node, const char *id, MmExchange *exchange);
void mm_api_cancel(MmNode *node, const char *id, MmExchange *exchange);
