//===- TestLogPage.cpp - docs/LOGS.md against the code --------------------===//
//
// Every event and every field that the gateway's sources name stands on the
// page, and the page names no other event.
//
//===----------------------------------------------------------------------===//

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

const std::filesystem::path Sources =
    FIGLIFT_SOURCE_DIRECTORY "/Services/figlift-gateway";
const std::filesystem::path Page = FIGLIFT_SOURCE_DIRECTORY "/docs/LOGS.md";

std::string read(const std::filesystem::path &Name) {
  std::ifstream File(Name, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// What the first group of \p Pattern matches in \p Text.
std::set<std::string> matches(const std::string &Text, const char *Pattern) {
  std::set<std::string> Found;
  const std::regex Expression(Pattern);
  for (std::sregex_iterator At(Text.begin(), Text.end(), Expression), End;
       At != End; ++At)
    Found.insert((*At)[1]);
  return Found;
}

/// The statements that write lines, from the call to the semicolon.
std::string statements() {
  std::string All;
  for (const auto &Each : std::filesystem::directory_iterator(Sources)) {
    const std::string Text = read(Each.path());
    for (size_t At = Text.find("log::log"); At != std::string::npos;
         At = Text.find("log::log", At + 1))
      All += Text.substr(At, Text.find(';', At) - At) + ";\n";
  }
  return All;
}

/// Empty if \p Part lies within \p Whole; else what is missing.
std::string missing(const std::set<std::string> &Part,
                    const std::set<std::string> &Whole) {
  std::string Names;
  for (const std::string &Each : Part)
    if (!Whole.contains(Each))
      Names += Each + " ";
  return Names;
}

} // namespace

TEST_GROUP(LogPage){};

TEST(LogPage, NamesEachEventOfTheCodeAndNoOther) {
  const auto Written = matches(statements(), "\"([a-z]+(?:-[a-z]+)+)\"|\"\"");
  const auto Named = matches(read(Page), "`([a-z]+(?:-[a-z]+)*)`");
  std::set<std::string> Events = Written;
  // Values of fields that look like events.
  for (const char *Value : {"read-prompt", ""})
    Events.erase(Value);
  STRCMP_EQUAL("", missing(Events, Named).c_str());
  // Rows of the table begin with their events.
  const auto Rows = matches(read(Page), "\n\\| `([a-z]+(?:-[a-z]+)*)`");
  CHECK_TRUE(Rows.size() > 10);
  const auto Anywhere = matches(statements(), "\"([a-z]+(?:-[a-z]+)*)\"");
  STRCMP_EQUAL("", missing(Rows, Anywhere).c_str());
}

TEST(LogPage, NamesEachFieldOfTheCode) {
  const auto Written = matches(statements(), "\\{\"([a-zA-Z]+)\",");
  CHECK_TRUE(Written.size() > 20);
  STRCMP_EQUAL("",
               missing(Written, matches(read(Page), "`([a-zA-Z]+)`")).c_str());
}
