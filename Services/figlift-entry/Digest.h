//===- Digest.h - Digest of several texts -----------------------*- C++ -*-===//
//
// Tells requests apart that carry the same idempotency key.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace figlift::entry {

/// 32 hexadecimal digits; depends on where one part ends and the next begins.
std::string digestOf(std::initializer_list<std::string_view> Parts);

} // namespace figlift::entry
