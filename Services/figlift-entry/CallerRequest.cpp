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
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character > ' ' && Character < 127;
  });
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
bool hasUnsafeEscapes(const std::string &RawPath, size_t NameEnd) {
  if (RawPath.substr(0, NameEnd).find('%') != std::string::npos)
    return true;
  return RawPath.find("%2f") != std::string::npos ||
         RawPath.find("%2F") != std::string::npos;
}

/// Some targets end the path at a NUL or a line break, as in "/slots%00/x".
bool isControl(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
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

std::string callerIdOf(const http::Request &Request,
                       const std::string &GeneratedId) {
  const std::string HeaderValue = Request.header("x-request-id");
  const bool IsValid = !HeaderValue.empty() &&
                       HeaderValue.size() <= MaximumIdLength &&
                       isVisibleAscii(HeaderValue);
  return IsValid ? HeaderValue : GeneratedId;
}

Result<void> readHeaders(const http::Request &Request,
                         const ReadContext &Context, CallerRequest &Output) {
  Output.CallerId = callerIdOf(Request, Context.GeneratedId);
  Output.RequestId = Context.GeneratedId;
  Output.Workspace = Request.header("x-figlift-workspace");
  if (!Output.Workspace.empty() &&
      !Context.Configuration.workspace(Output.Workspace))
    return failure(ResultCode::InvalidInput,
                   "unknown workspace \"" + Output.Workspace + "\"",
                   "X-Figlift-Workspace");
  Output.Deadline = Context.DefaultDeadline;
  const std::string Deadline = Request.header("x-figlift-deadline");
  if (Deadline.empty())
    return success();
  const auto Parsed = settings::parseDuration(Deadline);
  if (!Parsed || Parsed.value().count() <= 0 ||
      Parsed.value() > MaximumDeadline)
    return failure(ResultCode::InvalidInput,
                   "found \"" + Deadline +
                       "\"; expected a duration of at most 1h, such as 2s",
                   "X-Figlift-Deadline");
  Output.Deadline = Parsed.value();
  return success();
}

Result<std::string> readKey(const http::Request &Request) {
  std::string Key = Request.header("idempotency-key");
  if (Key.size() > MaximumKeyLength || !isVisibleAscii(Key))
    return failure(ResultCode::InvalidInput,
                   "expected at most 256 visible ASCII characters",
                   "Idempotency-Key");
  return Key;
}

void applyClass(const ReadContext &Context, const record::BackEnd &BackEnd,
                bool HasExplicitDeadline, CallerRequest &Output) {
  const auto *Workspace = Context.Configuration.workspace(Output.Workspace);
  if (Workspace && Workspace->DefaultClass)
    Output.Class = *Workspace->DefaultClass;
  if (const auto Limits = BackEnd.Classes.find(Output.Class);
      Limits != BackEnd.Classes.end() && !HasExplicitDeadline)
    Output.Deadline = Limits->second.DefaultDeadline;
}

Result<CallerRequest> readServiceCall(const http::Request &Request,
                                      const ReadContext &Context) {
  CallerRequest Call;
  FIGLIFT_TRY(readHeaders(Request, Context, Call));
  const std::string Remainder = Request.Path.substr(ServicesPath.size());
  const size_t Slash = Remainder.find('/');
  Call.BackEnd = Remainder.substr(0, Slash);
  const record::BackEnd *BackEnd = Context.Configuration.backEnd(Call.BackEnd);
  if (!BackEnd || BackEnd->Type != record::BackEndType::Service)
    return failure(ResultCode::UnknownBackEnd,
                   "unknown service \"" + Call.BackEnd + "\"", "path");
  const std::string Path =
      Slash == std::string::npos ? "/" : Remainder.substr(Slash);
  const size_t RawSlash = Request.RawPath.find('/', ServicesPath.size());
  if (isAmbiguous(Path) || hasUnsafeEscapes(Request.RawPath, RawSlash))
    return failure(ResultCode::InvalidInput,
                   "the path has empty or dot segments, or characters that "
                   "targets interpret differently",
                   "path");
  applyClass(Context, *BackEnd, !Request.header("x-figlift-deadline").empty(),
             Call);
  if (isUnder(Path, BackEnd->ImmediatePaths))
    Call.Class = record::ServiceClass::Immediate;
  Call.Repeatable =
      isReadOnly(Request.Method) || !isUnder(Path, BackEnd->NonRepeatablePaths);
  FIGLIFT_TRY(Key, readKey(Request));
  if (!Call.Repeatable)
    Call.IdempotencyKey = Key;

  std::string RawPath =
      RawSlash == std::string::npos ? "/" : Request.RawPath.substr(RawSlash);
  if (!Request.RawQuery.empty())
    RawPath += "?" + Request.RawQuery;
  Call.Work = ServiceWork{Request.Method, std::move(RawPath),
                          Request.header("content-type"), Request.Body};
  return Call;
}

} // namespace figlift::entry
