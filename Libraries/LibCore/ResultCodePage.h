//===- ResultCodePage.h - The table of result codes as a page ---*- C++ -*-===//
//
// Makes docs/RESULT-CODES.md, so that the page cannot differ from the code.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <string>

namespace figlift {

/// The whole page in Markdown.
std::string resultCodePage();

} // namespace figlift
