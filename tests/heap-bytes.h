/* The size of the heap, in tests. */
#pragma once

#include <glib.h>
#include <malloc.h>

/* Defined by the sanitizers' allocator, which replaces the one that mallinfo2() reports on. */
gsize sanitizer_allocated_bytes(void) __asm__("__sanitizer_get_current_allocated_bytes")
    __attribute__((weak));

/* Returns how many bytes are allocated on the heap. */
static inline gsize
heap_bytes(void) {
  struct mallinfo2 info;

  if (sanitizer_allocated_bytes != NULL)
    return sanitizer_allocated_bytes();
  info = mallinfo2();
  return info.uordblks + info.hblkhd;
}
