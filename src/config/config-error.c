#include "config/config-error.h"

G_DEFINE_QUARK(mm - config - error - quark, mm_config_error)
