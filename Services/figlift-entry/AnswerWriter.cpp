//===- AnswerWriter.cpp - HTTP responses to callers -----------------------===//
//
// See AnswerWriter.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/AnswerWriter.h"

#include "LibCore/Clock.h"
#include "LibHttp/Problem.h"

#include <nlohmann/json.hpp>

namespace figlift::entry {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view EndOfEvents = "[DONE]";

/// Model output may contain invalid UTF-8. It is replaced, because the default
/// error handler of the JSON library throws, which would end the process.
std::string dump(const ordered_json &Value) {
  return Value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

int64_t unixSeconds() {
  return std::chrono::floor<std::chrono::seconds>(wallNow())
      .time_since_epoch()
      .count();
}

ordered_json usage(const CompletionEnd &End) {
  return {
      {"prompt_tokens", End.PromptTokens},
      {"completion_tokens", End.TotalTokens},
      {"total_tokens", End.PromptTokens + End.TotalTokens},
      {"prompt_tokens_details", {{"cached_tokens", End.CachedPromptTokens}}}};
}

std::string chunkHead(const CompletionWork &Work, const std::string &Id) {
  const bool IsChat = Work.Api == CompletionApi::Chat;
  const ordered_json Head = {
      {"id", Id},
      {"object", IsChat ? "chat.completion.chunk" : "text_completion"},
      {"created", unixSeconds()},
      {"model", Work.RequestedModel}};
  std::string Text = dump(Head);
  Text.pop_back();
  return Text + ",\"choices\":[{\"index\":0,";
}

} // namespace

StreamedCompletion::StreamedCompletion(std::shared_ptr<http::Exchange> Caller,
                                       const CompletionWork &Work,
                                       std::string Id,
                                       std::function<void()> OnDisconnect)
    : m_Caller(std::move(Caller)), m_OnDisconnect(std::move(OnDisconnect)),
      m_IsChat(Work.Api == CompletionApi::Chat), m_Head(chunkHead(Work, Id)) {}

void StreamedCompletion::start() {
  std::call_once(m_StartOnce, [this] {
    m_Stream = m_Caller->startEventStream({}, m_OnDisconnect);
  });
}

bool StreamedCompletion::tokens(std::string_view Text) {
  start();
  if (!m_Stream)
    return false;
  std::string Chunk = m_Head;
  Chunk += m_IsChat ? "\"delta\":{\"content\":" : "\"text\":";
  Chunk += dump(std::string(Text));
  Chunk +=
      m_IsChat ? "},\"finish_reason\":null}]}" : ",\"finish_reason\":null}]}";
  return m_Stream->send(Chunk);
}

bool StreamedCompletion::keepAlive() {
  start();
  return m_Stream && m_Stream->comment();
}

void StreamedCompletion::finish(const CompletionEnd &End) {
  start();
  if (!m_Stream)
    return;
  std::string Chunk = m_Head;
  Chunk += m_IsChat ? "\"delta\":{}," : "\"text\":\"\",";
  Chunk += "\"finish_reason\":" + dump(End.FinishReason) +
           "}],\"usage\":" + dump(usage(End)) + "}";
  m_Stream->send(Chunk);
  m_Stream->send(EndOfEvents);
  m_Stream->close();
}

void StreamedCompletion::fail(const Error &Failure) {
  std::call_once(m_StartOnce, [&] { m_Caller->replyProblem(Failure); });
  if (!m_Stream)
    return;
  // The HTTP status has already been sent. Clients recognize the response as
  // incomplete because [DONE] is missing.
  m_Stream->send("{\"error\":" + http::problemBody(Failure, {}) + "}");
  m_Stream->close();
}

BufferedCompletion::BufferedCompletion(std::shared_ptr<http::Exchange> Caller,
                                       const CompletionWork &Work,
                                       std::string Id)
    : m_Caller(std::move(Caller)), m_Api(Work.Api),
      m_Model(Work.RequestedModel), m_Id(std::move(Id)) {}

bool BufferedCompletion::tokens(std::string_view Text) {
  m_Text += Text;
  return true;
}

void BufferedCompletion::finish(const CompletionEnd &End) {
  const bool IsChat = m_Api == CompletionApi::Chat;
  ordered_json Choice = {{"index", 0}};
  if (IsChat)
    Choice["message"] = {{"role", "assistant"}, {"content", m_Text}};
  else
    Choice["text"] = m_Text;
  Choice["finish_reason"] = End.FinishReason;
  const ordered_json Body = {
      {"id", m_Id},
      {"object", IsChat ? "chat.completion" : "text_completion"},
      {"created", unixSeconds()},
      {"model", m_Model},
      {"choices", ordered_json::array({Choice})},
      {"usage", usage(End)}};
  http::Response Response;
  Response.Body = dump(Body);
  m_Caller->reply(std::move(Response));
}

void ServiceResponse::answer(const wire::ServiceAnswer &Answer) {
  http::Response Response;
  Response.Status = static_cast<int>(Answer.status());
  Response.ContentType = Answer.content_type();
  Response.Body = Answer.body();
  if (Answer.replayed())
    Response.Headers.emplace_back("X-Figlift-Replayed", "true");
  m_Caller->reply(std::move(Response));
}

AnswerWriter makeAnswerWriter(std::shared_ptr<http::Exchange> Caller,
                              const CallerRequest &Request,
                              std::function<void()> OnDisconnect) {
  const auto *Work = std::get_if<CompletionWork>(&Request.Work);
  if (!Work)
    return std::make_unique<ServiceResponse>(std::move(Caller));
  if (Work->Streamed)
    return std::make_unique<StreamedCompletion>(
        std::move(Caller), *Work, Request.RequestId, std::move(OnDisconnect));
  return std::make_unique<BufferedCompletion>(std::move(Caller), *Work,
                                              Request.RequestId);
}

} // namespace figlift::entry
