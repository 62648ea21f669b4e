//===- OddEntries.cpp - Rows of other writers in the store ----------------===//
//
// See OddEntries.h.
//
//===----------------------------------------------------------------------===//

#include "OddEntries.h"

#include <array>
#include <chrono>
#include <string_view>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds WriteInterval{100};
constexpr unsigned WritesAtOnce = 3;
/// Rows of the same key replace each other.
constexpr unsigned KeysOfAKind = 6;
/// Texts and keys are as long as decoders and the store allow.
constexpr size_t LongestText = 4096;
constexpr size_t LongestKey = 200;
/// The store takes values of 64 KiB.
constexpr unsigned DeepestValue = 32000;

constexpr std::array Tables = {"servers",
                               "servers",
                               "servers",
                               "op",
                               "status",
                               "figlift-gateways",
                               "figlift-software-versions",
                               "figlift-leases",
                               "figlift-usage"};

std::string repeated(std::string_view Part, unsigned Count) {
  std::string Text;
  for (unsigned I = 0; I < Count; ++I)
    Text += Part;
  return Text;
}

} // namespace

void OddEntries::tick(BootTime Now) {
  if (Now < m_NextWrite)
    return;
  m_NextWrite = Now + WriteInterval;
  for (unsigned I = 0; I < WritesAtOnce; ++I) {
    const std::string Table = Tables[draw(Tables.size())];
    const std::string Key = key();
    if (draw(4) == 0)
      m_Store.remove(Table, Key);
    else
      m_Store.put(Table, Key,
                  Table == "servers" && draw(2) == 0 ? serverEntry() : value());
  }
}

std::string OddEntries::key() {
  const std::string Number = std::to_string(draw(KeysOfAKind));
  switch (draw(5)) {
  case 0:
    return Number + std::string(LongestKey - Number.size(), 'k');
  case 1:
    return "a\"quote'\\" + Number;
  case 2:
    return "a line\r\nbreak" + Number;
  case 3:
    return std::string("a\0zero", 6) + Number;
  default:
    return "odd-" + Number;
  }
}

std::string OddEntries::value() {
  static const std::array<std::string, 12> Values = {
      "",
      "null",
      "[]",
      "{}",
      "{\"a\":",
      "-1",
      "1e999",
      "\xff\xfe",
      std::string("\0\0", 2),
      "1\n{\"holder\":7,\"fence\":1e30}",
      "1\n[[],{},\"\xff\"]",
      R"({"id":"g","address":"127.0.0.1:99999","service":[1],"service":2})"};
  return draw(3) == 0 ? deepValue() : Values[draw(Values.size())];
}

std::string OddEntries::deepValue() {
  const unsigned Depth = 1 + draw(DeepestValue);
  switch (draw(4)) {
  case 0:
    return repeated("[", Depth) + repeated("]", Depth);
  case 1:
    return repeated("[", Depth);
  case 2:
    return "1\n" + repeated("{\"a\":", Depth / 4) + "1" +
           repeated("}", Depth / 4);
  default:
    return "\"" + repeated("x", Depth) + "\"";
  }
}

/// An entry with all fields of a server. Some have a field that no server
/// writes; the others name an address at which nobody listens.
std::string OddEntries::serverEntry() {
  std::string Service = draw(2) == 0 ? "plain" : "model";
  std::string Port = draw(2) == 0 ? "9" : "0";
  std::string Slots = draw(2) == 0 ? "1000000" : "4";
  std::string Sequence = "1";
  std::string Zone = "z";
  const std::string Stage =
      Service == "model" ? R"(,"stage":"decode")" : std::string();
  switch (draw(8)) {
  case 0:
    Service = std::string(LongestText, 's');
    break;
  case 1:
    Zone = std::string(LongestText, 'z');
    break;
  case 2:
    Port = draw(2) == 0 ? "65536" : "-1";
    break;
  case 3:
    Slots = "1180591620717411303424";
    break;
  case 4:
    Sequence = draw(2) == 0 ? "-1" : "1e400";
    break;
  case 5:
    Slots = repeated("[", DeepestValue / 2) + repeated("]", DeepestValue / 2);
    break;
  default:
    break;
  }
  return fmt::format(
      R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}",)"
      R"("version":"v1","slots":{},"state":"ready","coldRemainingMs":0,)"
      R"("sequence":{}{}}})",
      Service, Port, Zone, Slots, Sequence, Stage);
}

} // namespace figlift::soak
