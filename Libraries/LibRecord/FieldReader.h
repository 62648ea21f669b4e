//===- FieldReader.h - Validating reader of JSON objects --------*- C++ -*-===//
//
// Reads the members of one JSON object into typed variables. The first invalid
// member is stored as the error, with the path of the field, the value found
// and the values expected. Later reads do nothing, so that a record can be
// parsed by a plain list of reads.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::record {

/// A value, such as an enumerator, and its name in records.
template <typename T> struct NamedValue {
  std::string_view Name;
  T Value;
};

template <typename T, size_t Count>
using NamedValues = std::array<NamedValue<T>, Count>;

class FieldReader {
public:
  using Json = nlohmann::json;

  /// \p Object must outlive the reader and its child readers.
  FieldReader(const Json &Object, std::string Path, unsigned SchemaVersion);

  /// From now on, errors of this reader and of new child readers do not quote
  /// the values found. For objects that contain secrets.
  void hideValues() { m_HidesValues = true; }

  bool has(const std::string &Name) const;
  std::string pathOf(const std::string &Name) const;
  unsigned schemaVersion() const { return m_SchemaVersion; }

  /// Declares \p Name as a field of schema version 2. If a record of version 1
  /// has this field, the error says how to correct the record.
  void requireVersion2(const std::string &Name);
  /// Fails unless the field is present.
  void require(const std::string &Name, const std::string &Expected);

  void read(const std::string &Name, bool &Output);
  void read(const std::string &Name, std::string &Output, size_t MaximumLength);
  void read(const std::string &Name, double &Output, double Minimum,
            double Maximum);
  template <typename Integer>
  void readInteger(const std::string &Name, Integer &Output, uint64_t Minimum,
                   uint64_t Maximum) {
    if (auto Value = readUnsigned(Name, Minimum, Maximum))
      Output = static_cast<Integer>(*Value);
  }
  /// Reads a duration such as "250ms", "4s", "2m" or "1h".
  void read(const std::string &Name, std::chrono::milliseconds &Output,
            std::chrono::milliseconds Minimum,
            std::chrono::milliseconds Maximum);
  template <typename T, size_t Count>
  void read(const std::string &Name, T &Output,
            const NamedValues<T, Count> &Choices) {
    std::string Text;
    if (!readText(Name, Text))
      return;
    for (const auto &[ValueName, Value] : Choices)
      if (ValueName == Text) {
        Output = Value;
        return;
      }
    reject(Name, quotedNames(Choices));
  }
  /// Reads an array of strings, each of which \p IsValid must accept.
  void read(const std::string &Name, std::vector<std::string> &Output,
            const std::function<bool(const std::string &)> &IsValid,
            const std::string &Expected);
  /// Calls \p ReadElement with a reader for every element of an array of
  /// objects.
  void readObjects(const std::string &Name,
                   const std::function<void(FieldReader &)> &ReadElement);
  /// Calls \p ReadMembers with a reader for the object.
  void readObject(const std::string &Name,
                  const std::function<void(FieldReader &)> &ReadMembers);

  /// Fails if the object has a member that was not read or declared.
  void finish();

  /// Fails with the value found and the value expected.
  void reject(const std::string &Name, const std::string &Expected);
  /// Stores \p Message as the error unless there already is one.
  void fail(const std::string &Path, std::string Message);

  const std::optional<Error> &error() const { return m_Error; }

private:
  const Json *member(const std::string &Name);
  bool readText(const std::string &Name, std::string &Output);
  std::optional<uint64_t> readUnsigned(const std::string &Name,
                                       uint64_t Minimum, uint64_t Maximum);
  FieldReader(const Json &Object, std::string Path, unsigned SchemaVersion,
              bool HidesValues);
  void takeErrorOf(const FieldReader &Child);
  /// \p Value as an error message shows it.
  std::string shown(const Json &Value) const;

  template <typename T, size_t Count>
  static std::string quotedNames(const NamedValues<T, Count> &Choices) {
    std::string Text;
    for (const auto &[ValueName, Value] : Choices)
      Text += (Text.empty() ? "\"" : ", \"") + std::string(ValueName) + '"';
    return Text;
  }

  const Json &m_Object;
  const std::string m_Path;
  const unsigned m_SchemaVersion;
  bool m_HidesValues = false;
  /// Members that were read or declared.
  std::set<std::string> m_KnownNames;
  std::optional<Error> m_Error;
};

/// Parses a duration such as "250ms", "4s", "2m" or "1h".
std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text);

} // namespace figlift::record
