/* The representation of JSON values, for the source files of the JSON module. */
#pragma once

#include "base/json.h"

typedef enum {
  MM_JSON_NULL,
  MM_JSON_BOOLEAN,
  MM_JSON_COUNT,  /* a whole number from 0 to 2^64 - 1 */
  MM_JSON_NUMBER, /* any other number */
  MM_JSON_STRING,
  MM_JSON_ARRAY,
  MM_JSON_OBJECT
} MmJsonKind;

typedef struct {
  MmJson *name; /* a string */
  MmJson *value;
} MmJsonMember;

struct MmJson {
  guint ref_count;
  MmJsonKind kind;
  gsize length; /* bytes of `text`, elements or members */
  union {
    gboolean boolean;
    guint64 count;
    double number;
    struct {
      MmJson **items;
      gsize capacity;
    } array;
    struct {
      MmJsonMember *members;
      gsize capacity;
    } object;
  };
  /* The string, or the number as it was received; terminated by NUL. */
  char text[];
};

/* Appends a member without looking for one of the same name. Takes ownership. */
void mm_json_object_append(MmJson *object, MmJson *name, MmJson *value);

/* A value under construction. Initialized with zeros. */
typedef struct {
  MmJson *root;
  MmJson *open[MM_JSON_DEPTH_MAX]; /* the containers around the current position, from outside */
  guint depth;                     /* of the current position; may exceed MM_JSON_DEPTH_MAX */
  MmJson *name;                    /* of the member whose value comes next */
} MmJsonBuilder;

/* Each function takes ownership of the value, and drops it if it is nested too deep. */

/* Adds a value to the innermost open container, or as the root. */
void mm_json_builder_add(MmJsonBuilder *builder, MmJson *value);
/* Sets the name, a string, of the next member of the innermost open object. */
void mm_json_builder_set_name(MmJsonBuilder *builder, MmJson *name);
/* Adds a container and opens it. */
void mm_json_builder_open(MmJsonBuilder *builder, MmJson *container);
/* Closes the innermost open container. */
void mm_json_builder_close(MmJsonBuilder *builder);
