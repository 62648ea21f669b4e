//===- RecordText.cpp - Original text of submitted records ----------------===//
//
// First the JSON library judges the syntax of the whole file; then a small
// scanner, which may rely on good syntax, finds where each record begins and
// ends.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/RecordText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace figlift::record {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Blanks = " \t\r\n";

/// Notices what the library lets pass: a member that is given twice (the last
/// one would win in silence) and nesting without bound.
class StructureCheck {
public:
  bool operator()(int Depth, Json::parse_event_t Event, Json &Parsed) {
    if (Depth > MaximumNesting)
      note("the nesting is deeper than " + std::to_string(MaximumNesting), "");
    if (!m_Problem.empty())
      return false;
    if (Event == Json::parse_event_t::object_start)
      m_Open.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      m_Open.pop_back();
    else if (Event == Json::parse_event_t::key &&
             !m_Open.back().insert(Parsed.get<std::string>()).second)
      note("the member is given twice", Parsed.get<std::string>());
    return true;
  }

  const std::string &problem() const { return m_Problem; }
  const std::string &member() const { return m_Member; }

private:
  void note(std::string Problem, std::string Member) {
    if (!m_Problem.empty())
      return;
    m_Problem = std::move(Problem);
    m_Member = std::move(Member);
  }

  std::vector<std::set<std::string>> m_Open;
  std::string m_Problem;
  std::string m_Member;
};

/// Walks over JSON text of good syntax.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : m_Text(Text) {}

  bool atEnd() const { return m_Position >= m_Text.size(); }
  char here() const { return m_Text[m_Position]; }
  size_t position() const { return m_Position; }

  /// Passes one token: a string, a comment or a single byte.
  void advance() {
    if (here() == '"')
      return passString();
    if (m_Text.substr(m_Position, 2) == "//")
      return passUntil("\n");
    if (m_Text.substr(m_Position, 2) == "/*")
      return passUntil("*/");
    ++m_Position;
  }

  /// To the next byte that is neither blank nor comment.
  void skipBlanks() {
    while (!atEnd() && (isBlank(here()) || here() == '/'))
      advance();
  }

private:
  static bool isBlank(char Byte) {
    return Blanks.find(Byte) != std::string_view::npos;
  }

  void passString() {
    for (++m_Position; !atEnd() && here() != '"'; ++m_Position)
      if (here() == '\\')
        ++m_Position;
    ++m_Position;
  }

  void passUntil(std::string_view Mark) {
    size_t Found = m_Text.find(Mark, m_Position + 2);
    m_Position =
        Found == std::string_view::npos ? m_Text.size() : Found + Mark.size();
  }

  std::string_view m_Text;
  size_t m_Position = 0;
};

} // namespace

static unsigned lineOf(std::string_view Text, size_t Position) {
  auto Before = Text.substr(0, Position);
  return 1 + std::count(Before.begin(), Before.end(), '\n');
}

static Result<void> checkSyntax(std::string_view File) {
  if (File.size() > MaximumTextBytes)
    return failure(ResultCode::RecordInvalid,
                   "found " + std::to_string(File.size()) +
                       " bytes; allowed: at most " +
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
                       ": found a syntax error; allowed: JSON with comments (" +
                       Exception.what() + ")");
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::RecordInvalid, Exception.what());
  }
  if (!Check.problem().empty())
    return failure(ResultCode::RecordInvalid, Check.problem(), Check.member());
  return success();
}

/// Cuts out the element in [Begin, End); the comments before it belong to it,
/// the blanks do not.
static void addElement(std::string_view File, size_t Begin, size_t End,
                       std::vector<RecordText> &Into) {
  auto Text = File.substr(Begin, End - Begin);
  size_t First = std::min(Text.find_first_not_of(Blanks), Text.size());
  Scanner Inside(Text);
  Inside.skipBlanks();
  if (!Inside.atEnd())
    Into.push_back(
        {std::string(Text.substr(First)), lineOf(File, Begin + First)});
}

/// Texts of an array's elements; \p Scan stands on its opening bracket.
static std::vector<RecordText> elementsOf(std::string_view File, Scanner Scan) {
  std::vector<RecordText> Elements;
  Scan.advance();
  size_t Begin = Scan.position();
  int Depth = 0;
  while (!Scan.atEnd()) {
    char Byte = Scan.here();
    bool Last = Depth == 0 && Byte == ']';
    if (Last || (Depth == 0 && Byte == ',')) {
      addElement(File, Begin, Scan.position(), Elements);
      Begin = Scan.position() + 1;
    }
    if (Last)
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
  Scan.skipBlanks();
  if (!Scan.atEnd() && Scan.here() == '[')
    return elementsOf(File, Scan);
  return std::vector<RecordText>{{std::string(File), 1}};
}

} // namespace figlift::record
