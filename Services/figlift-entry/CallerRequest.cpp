//===- CallerRequest.cpp - Parsing of headers and service calls -----------===//
//
// See CallerRequest.h. Completions are parsed in CompletionRequest.cpp.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/CallerRequest.h"

#include "figlift-entry/RequestHeaders.h"

#include "LibSettings/Units.h"

#include <algorithm>

namespace figlift::entry {

namespace {

constexpr size_t MaximumIdLength = 128;
constexpr size_t MaximumKeyLength = 256;
constexpr std::chrono::hours MaximumDeadline{1};

bool isVisibleAscii(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Letter) { return Letter > ' ' && Letter < 127; });
}

bool isReadOnly(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

/// Whether \p Path starts with one of the prefixes, compared by whole segments.
bool isUnder(const std::string &Path,
             const std::vector<std::string> &Prefixes) {
  return std::any_of(Prefixes.begin(), Prefixes.end(), [&](std::string Prefix) {
    while (!Prefix.empty() && Prefix.back() == '/')
      Prefix.pop_back();
    return Path.starts_with(Prefix) &&
           (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
  });
}

/// Detects escapes that change or hide segments of the path: the entry would
/// check another path than the target resolves.
bool movesSegments(const std::string &RawPath, size_t NameEnd) {
  if (RawPath.substr(0, NameEnd).find('%') != std::string::npos)
    return true;
  return RawPath.find("%2f") != std::string::npos ||
         RawPath.find("%2F") != std::string::npos;
}

/// Some targets end the path at a NUL or a line break, as in "/slots%00/x".
bool isControl(char Each) {
  const auto Code = static_cast<unsigned char>(Each);
  return Code < 0x20 || Code == 0x7f;
}

/// Detects paths that a target may resolve differently from this entry:
/// "/x/../slots" is repeatable by its text, but a target resolves it to a path
/// that is not.
bool isAmbiguous(const std::string &Path) {
  return Path.find("//") != std::string::npos ||
         Path.find("/./") != std::string::npos ||
         Path.find("/../") != std::string::npos || Path.ends_with("/.") ||
         Path.ends_with("/..") || Path.find('\\') != std::string::npos ||
         Path.find('%') != std::string::npos ||
         Path.find(';') != std::string::npos ||
         std::any_of(Path.begin(), Path.end(), isControl);
}

} // namespace

std::string callerIdOf(const http::Request &From,
                       const std::string &GeneratedId) {
  const std::string Given = From.header("x-request-id");
  const bool IsFit = !Given.empty() && Given.size() <= MaximumIdLength &&
                     isVisibleAscii(Given);
  return IsFit ? Given : GeneratedId;
}

Result<void> readHeaders(const http::Request &From, const ReadContext &With,
                         CallerRequest &Into) {
  Into.CallerId = callerIdOf(From, With.GeneratedId);
  Into.RequestId = With.GeneratedId;
  Into.Workspace = From.header("x-figlift-workspace");
  if (!Into.Workspace.empty() && !With.Configuration.workspace(Into.Workspace))
    return failure(ResultCode::InvalidInput,
                   "unknown workspace \"" + Into.Workspace + "\"",
                   "X-Figlift-Workspace");
  Into.Deadline = With.DefaultDeadline;
  const std::string Deadline = From.header("x-figlift-deadline");
  if (Deadline.empty())
    return success();
  const auto Parsed = settings::parseDuration(Deadline);
  if (!Parsed || Parsed.value().count() <= 0 ||
      Parsed.value() > MaximumDeadline)
    return failure(ResultCode::InvalidInput,
                   "found \"" + Deadline +
                       "\"; expected a duration of at most 1h, such as 2s",
                   "X-Figlift-Deadline");
  Into.Deadline = Parsed.value();
  return success();
}

Result<std::string> readKey(const http::Request &From) {
  std::string Key = From.header("idempotency-key");
  if (Key.size() > MaximumKeyLength || !isVisibleAscii(Key))
    return failure(ResultCode::InvalidInput,
                   "expected at most 256 visible ASCII characters",
                   "Idempotency-Key");
  return Key;
}

void applyClass(const ReadContext &With, const record::BackEnd &BackEnd,
                bool HasOwnDeadline, CallerRequest &Into) {
  const auto *Customer = With.Configuration.workspace(Into.Workspace);
  if (Customer && Customer->DefaultClass)
    Into.Class = *Customer->DefaultClass;
  if (const auto Limits = BackEnd.Classes.find(Into.Class);
      Limits != BackEnd.Classes.end() && !HasOwnDeadline)
    Into.Deadline = Limits->second.DefaultDeadline;
}

Result<CallerRequest> readServiceCall(const http::Request &From,
                                      const ReadContext &With) {
  CallerRequest Read;
  FIGLIFT_TRY(readHeaders(From, With, Read));
  const std::string Rest = From.Path.substr(ServicesPath.size());
  const size_t Slash = Rest.find('/');
  Read.BackEnd = Rest.substr(0, Slash);
  const record::BackEnd *BackEnd = With.Configuration.backEnd(Read.BackEnd);
  if (!BackEnd || BackEnd->Type != record::BackEndType::Service)
    return failure(ResultCode::UnknownBackEnd,
                   "unknown service \"" + Read.BackEnd + "\"", "path");
  const std::string Path =
      Slash == std::string::npos ? "/" : Rest.substr(Slash);
  const size_t RawSlash = From.RawPath.find('/', ServicesPath.size());
  if (isAmbiguous(Path) || movesSegments(From.RawPath, RawSlash))
    return failure(ResultCode::InvalidInput,
                   "the path has empty or dot segments, or characters that "
                   "targets interpret differently",
                   "path");
  applyClass(With, *BackEnd, !From.header("x-figlift-deadline").empty(), Read);
  if (isUnder(Path, BackEnd->ImmediatePaths))
    Read.Class = record::ServiceClass::Immediate;
  Read.Repeatable =
      isReadOnly(From.Method) || !isUnder(Path, BackEnd->NonRepeatablePaths);
  FIGLIFT_TRY(Key, readKey(From));
  if (!Read.Repeatable)
    Read.IdempotencyKey = Key;

  std::string RawPath =
      RawSlash == std::string::npos ? "/" : From.RawPath.substr(RawSlash);
  if (!From.RawQuery.empty())
    RawPath += "?" + From.RawQuery;
  Read.Work = ServiceWork{From.Method, std::move(RawPath),
                          From.header("content-type"), From.Body};
  return Read;
}

} // namespace figlift::entry
