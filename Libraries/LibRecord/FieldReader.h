//===- FieldReader.h - Checked access to the members of JSON ----*- C++ -*-===//
//
// Reads the members of one JSON object into typed variables. The first thing
// that is wrong is kept as the error, with the path of its field, what was
// found and what is allowed; later reads do nothing, so that a reader of a
// record can be written as a plain list of its fields.
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

/// One value of an enumeration and its name in records.
template <typename Value> struct Named {
  std::string_view Word;
  Value Meaning;
};

template <typename Value, size_t Count>
using Names = std::array<Named<Value>, Count>;

class FieldReader {
public:
  using Json = nlohmann::json;

  /// \p Object must outlive the reader and its children.
  FieldReader(const Json &Object, std::string Path, unsigned SchemaVersion);

  bool has(const std::string &Name) const;
  std::string pathOf(const std::string &Name) const;
  unsigned schemaVersion() const { return m_SchemaVersion; }

  /// Notes that \p Name is a field of schema version 2; its use in a record of
  /// version 1 is an error with a hint.
  void needsVersion2(const std::string &Name);
  /// The field has to be there.
  void require(const std::string &Name, const std::string &Allowed);

  void read(const std::string &Name, bool &Into);
  void read(const std::string &Name, std::string &Into, size_t MaximumLength);
  void read(const std::string &Name, double &Into, double Minimum,
            double Maximum);
  template <typename Integer>
  void readInteger(const std::string &Name, Integer &Into, uint64_t Minimum,
                   uint64_t Maximum) {
    if (auto Value = integer(Name, Minimum, Maximum))
      Into = static_cast<Integer>(*Value);
  }
  /// A text such as "250ms", "4s", "2m" or "1h".
  void read(const std::string &Name, std::chrono::milliseconds &Into,
            std::chrono::milliseconds Minimum,
            std::chrono::milliseconds Maximum);
  template <typename Value, size_t Count>
  void read(const std::string &Name, Value &Into,
            const Names<Value, Count> &Known) {
    std::string Text;
    if (!textOf(Name, Text))
      return;
    for (const auto &[Word, Meaning] : Known)
      if (Word == Text) {
        Into = Meaning;
        return;
      }
    refuse(Name, allowedWords(Known));
  }
  /// Each element of an array of texts.
  void read(const std::string &Name, std::vector<std::string> &Into,
            const std::function<bool(const std::string &)> &Accept,
            const std::string &Allowed);
  /// Calls \p Each with a reader of every element of an array of objects.
  void readObjects(const std::string &Name,
                   const std::function<void(FieldReader &)> &Each);
  /// Calls \p Inside with a reader of the object.
  void readObject(const std::string &Name,
                  const std::function<void(FieldReader &)> &Inside);

  /// Every member that no read asked for is an error.
  void finish();

  void refuse(const std::string &Name, const std::string &Allowed);
  /// Keeps \p Message as the error unless there is one already.
  void fail(const std::string &Path, std::string Message);

  const std::optional<Error> &error() const { return m_Error; }

private:
  const Json *member(const std::string &Name);
  bool textOf(const std::string &Name, std::string &Into);
  std::optional<uint64_t> integer(const std::string &Name, uint64_t Minimum,
                                  uint64_t Maximum);
  void adopt(const FieldReader &Child);

  template <typename Value, size_t Count>
  static std::string allowedWords(const Names<Value, Count> &Known) {
    std::string Text;
    for (const auto &[Word, Meaning] : Known)
      Text += (Text.empty() ? "\"" : ", \"") + std::string(Word) + '"';
    return Text;
  }

  const Json &m_Object;
  const std::string m_Path;
  const unsigned m_SchemaVersion;
  std::set<std::string> m_Known;
  std::optional<Error> m_Error;
};

/// Reads "250ms", "4s", "2m" or "1h"; nothing when it is no such text.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text);

} // namespace figlift::record
