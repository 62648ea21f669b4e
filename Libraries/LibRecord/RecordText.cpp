//===- RecordText.cpp - Original text of submitted records ----------------===//
//
// The JSON library first checks the syntax of the whole file. A small scanner,
// which relies on valid syntax, then finds where each record begins and ends.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/RecordText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace figlift::record {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Whitespace = " \t\r\n";

/// Detects errors that the library accepts: duplicate members, of which the
/// last would silently take effect, and unlimited nesting.
class StructureCheck {
public:
  bool operator()(int Depth, Json::parse_event_t Event, Json &Parsed) {
    if (Depth > MaximumNesting)
      setProblem("nesting is deeper than the maximum of " +
                     std::to_string(MaximumNesting),
                 "");
    if (!m_Problem.empty())
      return false;
    if (Event == Json::parse_event_t::object_start)
      m_OpenObjects.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      m_OpenObjects.pop_back();
    else if (Event == Json::parse_event_t::key &&
             !m_OpenObjects.back().insert(Parsed.get<std::string>()).second)
      setProblem("duplicate member", Parsed.get<std::string>());
    return true;
  }

  const std::string &problem() const { return m_Problem; }
  const std::string &member() const { return m_Member; }

private:
  void setProblem(std::string Problem, std::string Member) {
    if (!m_Problem.empty())
      return;
    m_Problem = std::move(Problem);
    m_Member = std::move(Member);
  }

  std::vector<std::set<std::string>> m_OpenObjects;
  std::string m_Problem;
  std::string m_Member;
};

/// Steps through JSON text of valid syntax.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : m_Text(Text) {}

  bool atEnd() const { return m_Position >= m_Text.size(); }
  char current() const { return m_Text[m_Position]; }
  size_t position() const { return m_Position; }

  /// Skips one token: a string, a comment or a single byte.
  void advance() {
    if (current() == '"')
      return skipString();
    if (m_Text.substr(m_Position, 2) == "//")
      return skipPast("\n");
    if (m_Text.substr(m_Position, 2) == "/*")
      return skipPast("*/");
    ++m_Position;
  }

  /// Skips whitespace and comments.
  void skipWhitespace() {
    while (!atEnd() && (isWhitespace(current()) || current() == '/'))
      advance();
  }

private:
  static bool isWhitespace(char Byte) {
    return Whitespace.find(Byte) != std::string_view::npos;
  }

  void skipString() {
    for (++m_Position; !atEnd() && current() != '"'; ++m_Position)
      if (current() == '\\')
        ++m_Position;
    ++m_Position;
  }

  void skipPast(std::string_view Mark) {
    size_t MarkPosition = m_Text.find(Mark, m_Position + 2);
    m_Position = MarkPosition == std::string_view::npos
                     ? m_Text.size()
                     : MarkPosition + Mark.size();
  }

  std::string_view m_Text;
  size_t m_Position = 0;
};

} // namespace

static unsigned lineOf(std::string_view Text, size_t Position) {
  auto Preceding = Text.substr(0, Position);
  return 1 + std::count(Preceding.begin(), Preceding.end(), '\n');
}

static Result<void> checkSyntax(std::string_view File) {
  if (File.size() > MaximumTextBytes)
    return failure(ResultCode::RecordInvalid,
                   "found " + std::to_string(File.size()) +
                       " bytes; expected at most " +
                       std::to_string(MaximumTextBytes));
  StructureCheck Check;
  try {
    auto Callback = [&Check](int Depth, Json::parse_event_t Event,
                             Json &Parsed) {
      return Check(Depth, Event, Parsed);
    };
    [[maybe_unused]] Json Parsed =
        Json::parse(File.begin(), File.end(), Callback, true, true);
  } catch (const Json::parse_error &Exception) {
    return failure(ResultCode::RecordInvalid,
                   "line " + std::to_string(lineOf(File, Exception.byte)) +
                       ": found a syntax error; expected JSON with comments (" +
                       Exception.what() + ")");
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::RecordInvalid, Exception.what());
  }
  if (!Check.problem().empty())
    return failure(ResultCode::RecordInvalid, Check.problem(), Check.member());
  return success();
}

/// Appends the element in [Begin, End), with the comments before it but without
/// leading whitespace.
static void appendElement(std::string_view File, size_t Begin, size_t End,
                          std::vector<RecordText> &Output) {
  auto Text = File.substr(Begin, End - Begin);
  size_t First = std::min(Text.find_first_not_of(Whitespace), Text.size());
  Scanner Remainder(Text);
  Remainder.skipWhitespace();
  if (!Remainder.atEnd())
    Output.push_back(
        {std::string(Text.substr(First)), lineOf(File, Begin + First)});
}

/// Splits an array into its elements. \p Scan is positioned at its opening
/// bracket.
static std::vector<RecordText> splitArray(std::string_view File, Scanner Scan) {
  std::vector<RecordText> Elements;
  Scan.advance();
  size_t Begin = Scan.position();
  int Depth = 0;
  while (!Scan.atEnd()) {
    char Byte = Scan.current();
    bool IsLast = Depth == 0 && Byte == ']';
    if (IsLast || (Depth == 0 && Byte == ',')) {
      appendElement(File, Begin, Scan.position(), Elements);
      Begin = Scan.position() + 1;
    }
    if (IsLast)
      break;
    if (Byte == '{' || Byte == '[')
      ++Depth;
    else if (Byte == '}' || Byte == ']')
      --Depth;
    Scan.advance();
  }
  return Elements;
}

Result<std::vector<RecordText>> splitRecords(std::string_view File) {
  FIGLIFT_TRY(checkSyntax(File));
  Scanner Scan(File);
  Scan.skipWhitespace();
  if (!Scan.atEnd() && Scan.current() == '[')
    return splitArray(File, Scan);
  return std::vector<RecordText>{{std::string(File), 1}};
}

} // namespace figlift::record
