#include "endivecart/configuration/document.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Stringifier.h>

#include <sstream>

namespace endivecart::configuration {

namespace {

using Object = Poco::JSON::Object;
using Var = Poco::Dynamic::Var;

bool IsObject(const Var& value) {
  return value.type() == typeid(Object::Ptr);
}

std::string ToText(const Var& value) {
  std::ostringstream out;
  Poco::JSON::Stringifier::stringify(value, out, 0, 0);
  return out.str();
}

void Merge(Object& target, const Object& patch) {
  for (const auto& [key, value] : patch) {
    if (value.isEmpty()) {
      target.remove(key);
      continue;
    }
    if (!IsObject(value)) {
      target.set(key, value);
      continue;
    }
    Object::Ptr child = target.getObject(key);
    if (child.isNull()) {
      child = new Object;
      target.set(key, child);
    }
    Merge(*child, *value.extract<Object::Ptr>());
  }
}

Object::Ptr Diff(const Object& from, const Object& to) {
  Object::Ptr patch = new Object;
  for (const auto& [key, value] : from) {
    if (!to.has(key))
      patch->set(key, Var());
  }
  for (const auto& [key, value] : to) {
    const Var old = from.get(key);
    if (IsObject(value) && IsObject(old)) {
      const Object::Ptr child =
          Diff(*old.extract<Object::Ptr>(), *value.extract<Object::Ptr>());
      if (child->size() > 0)
        patch->set(key, child);
    } else if (old.isEmpty() || ToText(old) != ToText(value)) {
      patch->set(key, value);
    }
  }
  return patch;
}

}  // namespace

Result<std::string, settings::SettingsErrors> Canonical(std::string_view text) {
  const auto json = settings::ParseJsonText(text);
  if (!json)
    return Fail(json.error());
  return ToText(json->root);
}

Result<std::string, settings::SettingsErrors> ApplyMergePatch(
    std::string_view document,
    std::string_view patch) {
  auto target = settings::ParseJsonText(document);
  if (!target)
    return Fail(target.error());
  const auto change = settings::ParseJsonText(patch);
  if (!change)
    return Fail(change.error());
  Merge(*target->root, *change->root);
  return ToText(target->root);
}

Result<std::string, settings::SettingsErrors> DiffAsMergePatch(
    std::string_view from,
    std::string_view to) {
  const auto old_json = settings::ParseJsonText(from);
  if (!old_json)
    return Fail(old_json.error());
  const auto new_json = settings::ParseJsonText(to);
  if (!new_json)
    return Fail(new_json.error());
  return ToText(Diff(*old_json->root, *new_json->root));
}

}  // namespace endivecart::configuration
