//===- Field.h - Named value of a log line or event -------------*- C++ -*-===//
//
// Log lines and timeline events carry typed fields. A Field only refers to its
// text, so that creating one is cheap when the log level is disabled.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace figlift {

/// Durations are printed in milliseconds.
using FieldValue = std::variant<std::string_view, int64_t, uint64_t, double,
                                bool, std::chrono::nanoseconds>;

/// Valid only within the full expression that creates it.
struct Field {
  std::string_view Name;
  FieldValue Value;

  Field(std::string_view Name, std::string_view Text)
      : Name(Name), Value(Text) {}
  Field(std::string_view Name, const std::string &Text)
      : Name(Name), Value(std::string_view(Text)) {}
  Field(std::string_view Name, const char *Text)
      : Name(Name), Value(std::string_view(Text)) {}
  Field(std::string_view Name, bool Flag) : Name(Name), Value(Flag) {}
  Field(std::string_view Name, std::floating_point auto Number)
      : Name(Name), Value(static_cast<double>(Number)) {}
  Field(std::string_view Name, std::signed_integral auto Number)
      : Name(Name), Value(static_cast<int64_t>(Number)) {}
  Field(std::string_view Name, std::unsigned_integral auto Number)
      : Name(Name), Value(static_cast<uint64_t>(Number)) {}
  template <typename Rep, typename Period>
  Field(std::string_view Name, std::chrono::duration<Rep, Period> Time)
      : Name(Name),
        Value(std::chrono::duration_cast<std::chrono::nanoseconds>(Time)) {}
};

using FieldList = std::initializer_list<Field>;

} // namespace figlift
