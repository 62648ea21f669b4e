//===- Digest.h - Digest of several strings ---------------------*- C++ -*-===//
//
// Distinguishes requests that carry the same idempotency key.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace figlift::entry {

/// Returns 32 hexadecimal digits. The boundaries between the parts are part of
/// the input: {"ab", "c"} and {"a", "bc"} differ.
std::string digestOf(std::initializer_list<std::string_view> Parts);

} // namespace figlift::entry
