//===- TestLogPage.cpp - docs/LOGS.md against the code --------------------===//
//
// Every log event and field in the gateway's sources is described in
// docs/LOGS.md, and the page describes no other event.
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

/// Returns the text of the first group of \p Pattern for each match in \p Text.
std::set<std::string> matches(const std::string &Text, const char *Pattern) {
  std::set<std::string> Matches;
  const std::regex Expression(Pattern);
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Expression), End;
       Match != End; ++Match)
    Matches.insert((*Match)[1]);
  return Matches;
}

/// Returns all statements that write log lines.
std::string statements() {
  std::string All;
  for (const auto &File : std::filesystem::directory_iterator(Sources)) {
    const std::string Text = read(File.path());
    for (size_t Start = Text.find("log::log"); Start != std::string::npos;
         Start = Text.find("log::log", Start + 1))
      All += Text.substr(Start, Text.find(';', Start) - Start) + ";\n";
  }
  return All;
}

/// Returns the elements of \p Subset that are not in \p Superset.
std::string missing(const std::set<std::string> &Subset,
                    const std::set<std::string> &Superset) {
  std::string Names;
  for (const std::string &Name : Subset)
    if (!Superset.contains(Name))
      Names += Name + " ";
  return Names;
}

} // namespace

TEST_GROUP(LogPage){};

TEST(LogPage, DescribesExactlyTheEventsOfTheCode) {
  const auto Written = matches(statements(), "\"([a-z]+(?:-[a-z]+)+)\"|\"\"");
  const auto Described = matches(read(Page), "`([a-z]+(?:-[a-z]+)*)`");
  std::set<std::string> Events = Written;
  // Field values that look like event names.
  for (const char *Value : {"read-prompt", ""})
    Events.erase(Value);
  STRCMP_EQUAL("", missing(Events, Described).c_str());
  // Each row of the table begins with its event.
  const auto Rows = matches(read(Page), "\n\\| `([a-z]+(?:-[a-z]+)*)`");
  CHECK_TRUE(Rows.size() > 10);
  const auto Words = matches(statements(), "\"([a-z]+(?:-[a-z]+)*)\"");
  STRCMP_EQUAL("", missing(Rows, Words).c_str());
}

TEST(LogPage, DescribesEachFieldOfTheCode) {
  const auto Written = matches(statements(), "\\{\"([a-zA-Z]+)\",");
  CHECK_TRUE(Written.size() > 20);
  STRCMP_EQUAL("",
               missing(Written, matches(read(Page), "`([a-zA-Z]+)`")).c_str());
}
