#include "endivecart/settings/json_reader.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <algorithm>
#include <utility>

namespace endivecart::settings {

namespace {

std::string JoinWithCommas(const std::vector<std::string>& items) {
  std::string out;
  for (const std::string& item : items)
    out += (out.empty() ? "" : ", ") + item;
  return out;
}

}  // namespace

JsonReader::JsonReader(Poco::JSON::Object::Ptr object,
                       std::string path,
                       const std::map<std::string, int>& lines,
                       SettingsErrors& errors)
    : object_(std::move(object)),
      path_(std::move(path)),
      lines_(&lines),
      errors_(&errors) {}

int JsonReader::LineOf(const std::string& path) const {
  const auto it = lines_->find(path);
  if (it != lines_->end())
    return it->second;
  const std::size_t dot = path.rfind('.');
  return dot == std::string::npos ? 0 : LineOf(path.substr(0, dot));
}

void JsonReader::AddError(const std::string& key, const std::string& reason) {
  const std::string path = key.empty() ? path_ : JoinPath(path_, key);
  errors_->push_back({path, LineOf(path), reason});
}

bool JsonReader::Has(const std::string& key) const {
  return object_->has(key) && !object_->isNull(key);
}

std::optional<Poco::Dynamic::Var> JsonReader::Lookup(const std::string& key,
                                                     bool required) {
  known_.insert(key);
  if (!Has(key)) {
    if (required)
      AddError(key, "is missing");
    return std::nullopt;
  }
  return object_->get(key);
}

std::string JsonReader::String(const std::string& key) {
  const auto value = Lookup(key, true);
  if (!value)
    return {};
  if (!value->isString()) {
    AddError(key, "must be a string");
    return {};
  }
  auto text = value->convert<std::string>();
  if (text.empty())
    AddError(key, "must not be empty");
  return text;
}

std::string JsonReader::StringOr(const std::string& key,
                                 const std::string& fallback) {
  known_.insert(key);
  return Has(key) ? String(key) : fallback;
}

std::int64_t JsonReader::Int(const std::string& key,
                             std::int64_t min,
                             std::int64_t max) {
  const auto value = Lookup(key, true);
  if (!value)
    return min;
  if (!value->isInteger() || value->isBoolean()) {
    AddError(key, "must be a whole number");
    return min;
  }
  try {
    const auto number = value->convert<std::int64_t>();
    if (number >= min && number <= max)
      return number;
  } catch (const Poco::Exception&) {
    // Too large even for the conversion: out of range as well.
  }
  AddError(key, "must be from " + std::to_string(min) + " to " +
                    std::to_string(max));
  return min;
}

std::int64_t JsonReader::IntOr(const std::string& key,
                               std::int64_t fallback,
                               std::int64_t min,
                               std::int64_t max) {
  known_.insert(key);
  return Has(key) ? Int(key, min, max) : fallback;
}

double JsonReader::NumberOr(const std::string& key, double fallback) {
  const auto value = Lookup(key, false);
  if (!value)
    return fallback;
  if (!value->isNumeric() || value->isBoolean()) {
    AddError(key, "must be a number");
    return fallback;
  }
  const auto number = value->convert<double>();
  if (!(number >= 0)) {
    AddError(key, "must not be negative");
    return fallback;
  }
  return number;
}

bool JsonReader::BoolOr(const std::string& key, bool fallback) {
  const auto value = Lookup(key, false);
  if (!value)
    return fallback;
  if (!value->isBoolean()) {
    AddError(key, "must be true or false");
    return fallback;
  }
  return value->convert<bool>();
}

std::string JsonReader::ChoiceOr(const std::string& key,
                                 const std::string& fallback,
                                 const std::vector<std::string>& choices) {
  const std::size_t errors_before = errors_->size();
  std::string value = StringOr(key, fallback);
  if (errors_->size() == errors_before &&
      std::find(choices.begin(), choices.end(), value) == choices.end()) {
    AddError(key, "must be one of: " + JoinWithCommas(choices));
  }
  return value;
}

std::vector<std::string> JsonReader::StringsOr(
    const std::string& key,
    std::vector<std::string> fallback) {
  const auto value = Lookup(key, false);
  if (!value)
    return fallback;
  if (value->type() != typeid(Poco::JSON::Array::Ptr)) {
    AddError(key, "must be a list of strings");
    return {};
  }
  std::vector<std::string> strings;
  for (const auto& element : *value->extract<Poco::JSON::Array::Ptr>()) {
    if (!element.isString()) {
      AddError(key, "must be a list of strings");
      return {};
    }
    strings.push_back(element.convert<std::string>());
  }
  return strings;
}

JsonReader JsonReader::Child(Poco::JSON::Object::Ptr object,
                             const std::string& key) {
  return {std::move(object), JoinPath(path_, key), *lines_, *errors_};
}

JsonReader JsonReader::Object(const std::string& key, bool required) {
  const auto value = Lookup(key, required);
  if (value && value->type() == typeid(Poco::JSON::Object::Ptr))
    return Child(value->extract<Poco::JSON::Object::Ptr>(), key);
  if (value)
    AddError(key, "must be an object");
  return Child(new Poco::JSON::Object, key);
}

std::vector<JsonReader> JsonReader::Objects(const std::string& key,
                                            bool required) {
  const auto value = Lookup(key, required);
  std::vector<JsonReader> readers;
  if (!value)
    return readers;
  if (value->type() != typeid(Poco::JSON::Array::Ptr)) {
    AddError(key, "must be a list of objects");
    return readers;
  }
  int index = 0;
  for (const auto& element : *value->extract<Poco::JSON::Array::Ptr>()) {
    const std::string path_in_object = JoinPath(key, std::to_string(index++));
    if (element.type() == typeid(Poco::JSON::Object::Ptr)) {
      readers.push_back(
          Child(element.extract<Poco::JSON::Object::Ptr>(), path_in_object));
    } else {
      AddError(path_in_object, "must be an object");
    }
  }
  return readers;
}

std::vector<std::string> JsonReader::Keys() const {
  return object_->getNames();
}

void JsonReader::RefuseUnknownKeys() {
  for (const std::string& key : object_->getNames()) {
    if (!known_.contains(key))
      AddError(key, "is not a known key");
  }
}

}  // namespace endivecart::settings
