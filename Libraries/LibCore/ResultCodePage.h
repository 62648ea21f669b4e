//===- ResultCodePage.h - Documentation page of result codes ----*- C++ -*-===//
//
// Generates docs/RESULT-CODES.md from the table of result codes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <string>

namespace figlift {

/// The complete page as Markdown.
std::string resultCodePage();

} // namespace figlift
