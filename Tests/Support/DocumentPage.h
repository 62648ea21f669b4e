//===- DocumentPage.h - Pages that the code makes ---------------*- C++ -*-===//
//
// Compares a page of docs/ with what the code makes of its tables. With
// FIGLIFT_WRITE_PAGES set in the environment the page is written first.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace figlift::test {

/// The page as committed. \p Wanted is what it should be.
inline std::string documentPage(const std::string &Name,
                                const std::string &Wanted) {
  std::string Path = std::string(FIGLIFT_SOURCE_DIRECTORY "/docs/") + Name;
  if (std::getenv("FIGLIFT_WRITE_PAGES"))
    std::ofstream(Path, std::ios::binary) << Wanted;
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace figlift::test
