//===- DocumentPage.h - Generated pages of the documentation ----*- C++ -*-===//
//
// Reads a page of docs/ for comparison with the text generated from the tables
// in the code. If FIGLIFT_WRITE_PAGES is set in the environment, the page is
// written first.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace figlift::test {

/// Returns the page as stored. \p Expected is its generated text.
inline std::string documentPage(const std::string &Name,
                                const std::string &Expected) {
  std::string Path = std::string(FIGLIFT_SOURCE_DIRECTORY "/docs/") + Name;
  if (std::getenv("FIGLIFT_WRITE_PAGES"))
    std::ofstream(Path, std::ios::binary) << Expected;
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace figlift::test
