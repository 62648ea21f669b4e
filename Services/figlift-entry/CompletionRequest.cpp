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
  const auto Value = Body.find(Field);
  if (Value == Body.end() || !Value->is_string())
    return invalid("expected a string", Field);
  return Value->get<std::string>();
}

Result<bool> readFlag(const json &Body, const std::string &Field) {
  const auto Value = Body.find(Field);
  if (Value == Body.end() || Value->is_null())
    return false;
  if (!Value->is_boolean())
    return invalid("expected true or false", Field);
  return Value->get<bool>();
}

Result<uint32_t> readMaximumTokens(const json &Body) {
  for (const char *Field : {"max_completion_tokens", "max_tokens"}) {
    const auto Value = Body.find(Field);
    if (Value == Body.end() || Value->is_null())
      continue;
    if (!Value->is_number_unsigned() || Value->get<uint64_t>() == 0 ||
        Value->get<uint64_t>() > LargestMaximumTokens)
      return invalid("expected an integer from 1 to " +
                         std::to_string(LargestMaximumTokens),
                     Field);
    return Value->get<uint32_t>();
  }
  return DefaultMaximumTokens;
}

/// Returns the text of one chat message: a string, or parts of type "text".
Result<std::string> readContent(const json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string Text;
  if (!Content.is_array())
    return invalid("expected a string or a list of text parts",
                   "messages.content");
  for (const json &Part : Content) {
    if (!Part.is_object() || Part.value("type", "") != "text" ||
        !Part.contains("text") || !Part["text"].is_string())
      return invalid("only parts of type text are supported",
                     "messages.content");
    Text += Part["text"].get<std::string>();
  }
  return Text;
}

Result<std::string> readMessages(const json &Body) {
  const auto Value = Body.find("messages");
  if (Value == Body.end() || !Value->is_array() || Value->empty())
    return invalid("expected a list of at least one message", "messages");
  std::string Prompt;
  for (const json &Message : *Value) {
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
    if (const auto Value = Body.find(Field);
        Value != Body.end() && !Value->is_null() && *Value != 1)
      return invalid("only one answer per request is supported", Field);
  for (const char *Field : {"tools", "functions", "suffix"})
    if (const auto Value = Body.find(Field);
        Value != Body.end() && !Value->is_null() && !Value->empty())
      return invalid("this field is not supported", Field);
  return success();
}

bool serves(const record::BackEnd &BackEnd, const std::string &Model) {
  for (const record::ModelReference &Served : BackEnd.Models)
    if (Model == Served.Name || Model == Served.Name + "@" + Served.Version)
      return true;
  return false;
}

/// Accepts "back end/model", a model that only one back end serves, or the name
/// of a back end with a single model.
Result<void> resolveModel(const config::Snapshot &Records,
                          const std::string &RequestedName,
                          CallerRequest &Output, std::string &Model) {
  if (const size_t Slash = RequestedName.find('/');
      Slash != std::string::npos) {
    Output.BackEnd = RequestedName.substr(0, Slash);
    Model = RequestedName.substr(Slash + 1);
    const record::BackEnd *BackEnd = Records.backEnd(Output.BackEnd);
    if (!BackEnd)
      return failure(ResultCode::UnknownBackEnd,
                     "unknown back end \"" + Output.BackEnd + "\"", "model");
    if (!serves(*BackEnd, Model))
      return failure(ResultCode::UnknownModel,
                     "\"" + Output.BackEnd + "\" does not serve \"" + Model +
                         "\"",
                     "model");
    return success();
  }
  for (const config::SnapshotRecord *Item : Records.list("backEnd")) {
    const std::string &Name = Item->Stored.Name;
    const record::BackEnd *BackEnd = Records.backEnd(Name);
    if (!BackEnd)
      continue;
    const bool IsBackEndName =
        Name == RequestedName && BackEnd->Models.size() == 1;
    if (!IsBackEndName && !serves(*BackEnd, RequestedName))
      continue;
    if (!Output.BackEnd.empty())
      return failure(ResultCode::UnknownModel,
                     "several back ends serve \"" + RequestedName +
                         "\"; write \"" + Output.BackEnd + "/" + RequestedName +
                         "\"",
                     "model");
    Output.BackEnd = Name;
    Model = IsBackEndName ? BackEnd->Models.front().Name : RequestedName;
  }
  if (Output.BackEnd.empty())
    return failure(ResultCode::UnknownModel,
                   "no back end serves \"" + RequestedName + "\"", "model");
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

Result<CallerRequest> readCompletion(const http::Request &Request,
                                     CompletionApi Api,
                                     const ReadContext &Context) {
  CallerRequest Parsed;
  FIGLIFT_TRY(readHeaders(Request, Context, Parsed));
  FIGLIFT_TRY(Body, http::parseJsonBody(Request.Body));
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
  FIGLIFT_TRY(resolveModel(Context.Configuration, Model, Parsed, Work.Model));
  applyClass(Context, *Context.Configuration.backEnd(Parsed.BackEnd),
             !Request.header("x-figlift-deadline").empty(), Parsed);
  FIGLIFT_TRY(Key, readKey(Request));
  if (!Key.empty())
    Parsed.ResumeKey = resumeKeyOf(Key, Parsed.Workspace, Work);
  Parsed.Work = std::move(Work);
  return Parsed;
}

uint32_t CompletionWork::promptTokens() const {
  return static_cast<uint32_t>((Prompt.size() + route::BytesPerToken - 1) /
                               route::BytesPerToken);
}

} // namespace figlift::entry
