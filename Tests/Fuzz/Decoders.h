//===- Decoders.h - Everything that reads bytes from outside ----*- C++ -*-===//
//
// Shared by the bounded run in ctest and by the libFuzzer program.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::test {

struct Decoder {
  std::string_view Name;
  /// Reads \p Bytes; must neither crash nor hang. Gives what is wrong with the
  /// outcome, or nothing.
  std::string (*Decode)(std::string_view Bytes);
  /// Good inputs, from which damaged ones are made.
  std::vector<std::string> Good;
};

std::span<const Decoder> decoders();

} // namespace figlift::test
