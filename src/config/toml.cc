#include "config/toml.h"

#include "config/config-error.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

static MmJson *
to_json(const toml::node &node) {
  if (auto table = node.as_table()) {
    MmJson *object = mm_json_new_object();
    for (auto &&[key, value] : *table)
      mm_json_object_set(object, std::string(key.str()).c_str(), to_json(value));
    return object;
  }
  if (auto array = node.as_array()) {
    MmJson *list = mm_json_new_array();
    for (auto &&value : *array)
      mm_json_array_append(list, to_json(value));
    return list;
  }
  if (auto text = node.as_string())
    return mm_json_new_string(text->get().c_str());
  if (auto number = node.as_integer())
    return mm_json_new_integer(number->get());
  if (auto number = node.as_floating_point())
    return mm_json_new_real(number->get());
  if (auto flag = node.as_boolean())
    return mm_json_new_boolean(flag->get());
  return mm_json_new_null();
}

MmJson *
mm_toml_read(const char *path, GError **error) {
  std::ifstream file(path);
  if (!file) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_UNREADABLE, "%s: %s", path,
                std::strerror(errno));
    return nullptr;
  }
  std::stringstream text;
  text << file.rdbuf();
  if (file.bad() || text.fail()) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_UNREADABLE, "%s: cannot be read", path);
    return nullptr;
  }
  try {
    const std::string document = text.str();
    return to_json(toml::parse(std::string_view(document), std::string_view(path)));
  } catch (const toml::parse_error &failure) {
    const std::string description(failure.description());
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_SYNTAX, "%s: line %u: %s", path,
                static_cast<unsigned>(failure.source().begin.line), description.c_str());
    return nullptr;
  }
}
