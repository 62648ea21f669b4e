//===- CompletionRequest.cpp - Parsing of completion requests -------------===//
//
// Parses the JSON bodies of OpenAI-compatible clients. Fields without a meaning
// for figlift are ignored. Fields that request unsupported features are
// rejected, so that they are not silently ineffective.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/CallerRequest.h"

#include "LibHttp/JsonBody.h"
#include "LibRoute/PrefixHash.h"
#include "figlift-entry/Digest.h"
#include "figlift-entry/RequestHeaders.h"

#include <nlohmann/json.hpp>

namespace figlift::entry {

namespace {

using nlohmann::json;

constexpr uint32_t DefaultMaximumTokens = 256;
constexpr uint32_t LargestMaximumTokens = 1u << 20;

auto invalid(std::string Message, std::string Field) {
  return failure(ResultCode::InvalidInput, std::move(Message),
                 std::move(Field));
}

Result<std::string> readText(const json &Body, const std::string &Field) {
  const auto Found = Body.find(Field);
  if (Found == Body.end() || !Found->is_string())
    return invalid("expected a string", Field);
  return Found->get<std::string>();
}

Result<bool> readFlag(const json &Body, const std::string &Field) {
  const auto Found = Body.find(Field);
  if (Found == Body.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    return invalid("expected true or false", Field);
  return Found->get<bool>();
}

Result<uint32_t> readMaximumTokens(const json &Body) {
  for (const char *Field : {"max_completion_tokens", "max_tokens"}) {
    const auto Found = Body.find(Field);
    if (Found == Body.end() || Found->is_null())
      continue;
    if (!Found->is_number_unsigned() || Found->get<uint64_t>() == 0 ||
        Found->get<uint64_t>() > LargestMaximumTokens)
      return invalid("expected an integer from 1 to " +
                         std::to_string(LargestMaximumTokens),
                     Field);
    return Found->get<uint32_t>();
  }
  return DefaultMaximumTokens;
}

/// Returns the text of one chat message: a string, or parts of type "text".
Result<std::string> readContent(const json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string All;
  if (!Content.is_array())
    return invalid("expected a string or a list of text parts",
                   "messages.content");
  for (const json &Part : Content) {
    if (!Part.is_object() || Part.value("type", "") != "text" ||
        !Part.contains("text") || !Part["text"].is_string())
      return invalid("only parts of type text are supported",
                     "messages.content");
    All += Part["text"].get<std::string>();
  }
  return All;
}

Result<std::string> readMessages(const json &Body) {
  const auto Found = Body.find("messages");
  if (Found == Body.end() || !Found->is_array() || Found->empty())
    return invalid("expected a list of at least one message", "messages");
  std::string Prompt;
  for (const json &Message : *Found) {
    if (!Message.is_object() || !Message.contains("content"))
      return invalid("each message needs role and content", "messages");
    FIGLIFT_TRY(Role, readText(Message, "role"));
    FIGLIFT_TRY(Content, readContent(Message["content"]));
    Prompt += Role + ": " + Content + "\n";
  }
  return Prompt + "assistant: ";
}

Result<void> refuseUnsupported(const json &Body) {
  for (const char *Field : {"n", "best_of"})
    if (const auto Found = Body.find(Field);
        Found != Body.end() && !Found->is_null() && *Found != 1)
      return invalid("only one answer per request is supported", Field);
  for (const char *Field : {"tools", "functions", "suffix"})
    if (const auto Found = Body.find(Field);
        Found != Body.end() && !Found->is_null() && !Found->empty())
      return invalid("this field is not supported", Field);
  return success();
}

bool serves(const record::BackEnd &BackEnd, const std::string &Model) {
  for (const record::ModelReference &Known : BackEnd.Models)
    if (Model == Known.Name || Model == Known.Name + "@" + Known.Version)
      return true;
  return false;
}

/// Accepts "back end/model", a model that only one back end serves, or the name
/// of a back end with a single model.
Result<void> resolveModel(const config::Snapshot &Records,
                          const std::string &Asked, CallerRequest &Into,
                          std::string &Model) {
  if (const size_t Slash = Asked.find('/'); Slash != std::string::npos) {
    Into.BackEnd = Asked.substr(0, Slash);
    Model = Asked.substr(Slash + 1);
    const record::BackEnd *Found = Records.backEnd(Into.BackEnd);
    if (!Found)
      return failure(ResultCode::UnknownBackEnd,
                     "unknown back end \"" + Into.BackEnd + "\"", "model");
    if (!serves(*Found, Model))
      return failure(
          ResultCode::UnknownModel,
          "\"" + Into.BackEnd + "\" does not serve \"" + Model + "\"", "model");
    return success();
  }
  for (const config::Item *Known : Records.list("backEnd")) {
    const std::string &Name = Known->Stored.Name;
    const record::BackEnd *BackEnd = Records.backEnd(Name);
    if (!BackEnd)
      continue;
    const bool ByItsName = Name == Asked && BackEnd->Models.size() == 1;
    if (!ByItsName && !serves(*BackEnd, Asked))
      continue;
    if (!Into.BackEnd.empty())
      return failure(ResultCode::UnknownModel,
                     "several back ends serve \"" + Asked + "\"; write \"" +
                         Into.BackEnd + "/" + Asked + "\"",
                     "model");
    Into.BackEnd = Name;
    Model = ByItsName ? BackEnd->Models.front().Name : Asked;
  }
  if (Into.BackEnd.empty())
    return failure(ResultCode::UnknownModel,
                   "no back end serves \"" + Asked + "\"", "model");
  return success();
}

/// Includes the workspace and the request, so that a key reused for another
/// request does not return the answer of the first one.
std::string resumeKeyOf(const std::string &Key, const std::string &Workspace,
                        const CompletionWork &Work) {
  return digestOf({Key, Workspace, Work.RequestedModel, Work.Prompt,
                   std::to_string(Work.MaximumTokens)});
}

} // namespace

Result<CallerRequest> readCompletion(const http::Request &From,
                                     CompletionApi Api,
                                     const ReadContext &With) {
  CallerRequest Read;
  FIGLIFT_TRY(readHeaders(From, With, Read));
  FIGLIFT_TRY(Body, http::parseJsonBody(From.Body));
  if (!Body.is_object())
    return invalid("the body is not a JSON object", "body");
  FIGLIFT_TRY(refuseUnsupported(Body));
  FIGLIFT_TRY(Model, readText(Body, "model"));
  FIGLIFT_TRY(Streamed, readFlag(Body, "stream"));
  FIGLIFT_TRY(MaximumTokens, readMaximumTokens(Body));
  FIGLIFT_TRY(Prompt, Api == CompletionApi::Chat ? readMessages(Body)
                                                 : readText(Body, "prompt"));
  CompletionWork Work{.Api = Api,
                      .Streamed = Streamed,
                      .RequestedModel = Model,
                      .Model = {},
                      .Prompt = std::move(Prompt),
                      .MaximumTokens = MaximumTokens};
  FIGLIFT_TRY(resolveModel(With.Configuration, Model, Read, Work.Model));
  applyClass(With, *With.Configuration.backEnd(Read.BackEnd),
             !From.header("x-figlift-deadline").empty(), Read);
  FIGLIFT_TRY(Key, readKey(From));
  if (!Key.empty())
    Read.ResumeKey = resumeKeyOf(Key, Read.Workspace, Work);
  Read.Work = std::move(Work);
  return Read;
}

uint32_t CompletionWork::promptTokens() const {
  return static_cast<uint32_t>((Prompt.size() + route::BytesPerToken - 1) /
                               route::BytesPerToken);
}

} // namespace figlift::entry
