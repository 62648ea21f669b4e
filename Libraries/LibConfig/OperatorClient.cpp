//===- OperatorClient.cpp - Client of the operator API --------------------===//
//
// Classifies the responses to a write.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorClient.h"

#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace figlift::config {

using platform::BoundedHttpClient;
using platform::HttpFailure;
using platform::HttpMethod;
using platform::HttpOutcome;
using platform::HttpRequest;
using platform::HttpResponse;

OperatorClient::OperatorClient(OperatorClientOptions Options)
    : m_Options(std::move(Options)) {
  for (const Endpoint &Entry : m_Options.Entries) {
    platform::HttpCallOptions CallOptions;
    CallOptions.Server = Entry;
    CallOptions.Timeout = m_Options.Timeout;
    m_Calls.push_back(std::make_shared<BoundedHttpClient>(CallOptions));
  }
}

OperatorClient::~OperatorClient() {
  for (auto &Calls : m_Calls)
    Calls->stop();
}

HttpOutcome OperatorClient::send(size_t Entry, HttpRequest Request) {
  std::promise<HttpOutcome> Promise;
  m_Calls[Entry]->submit(std::move(Request), [&Promise](HttpOutcome Outcome) {
    Promise.set_value(std::move(Outcome));
  });
  return Promise.get_future().get();
}

/// The error in a problem response.
static Error errorOf(const HttpResponse &Response) {
  auto Body = nlohmann::json::parse(Response.Body, nullptr, false);
  Error Parsed{ResultCode::Internal,
               "status " + std::to_string(Response.Status),
               {},
               Response.RetryAfter};
  if (!Body.is_object())
    return Parsed;
  if (auto Code = Body.find("code");
      Code != Body.end() && Code->is_number_integer())
    Parsed.Code =
        resultCodeFromNumber(Code->get<int>()).value_or(ResultCode::Internal);
  if (auto Text = Body.find("detail"); Text != Body.end() && Text->is_string())
    Parsed.Message = Text->get<std::string>();
  if (auto Field = Body.find("field");
      Field != Body.end() && Field->is_string())
    Parsed.Field = Field->get<std::string>();
  return Parsed;
}

static Result<std::string> bodyOf(HttpOutcome Outcome) {
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failure(ResultCode::PeerUnreachable, std::move(Failure->Message));
  auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.Status == 200)
    return std::move(Response.Body);
  return outcome::failure(errorOf(Response));
}

Result<std::string> OperatorClient::read(const std::string &Path) {
  Result<std::string> Last =
      failure(ResultCode::PeerUnreachable, "no entry was given");
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry) {
    Last = bodyOf(send(Entry, {HttpMethod::Get, Path, {}}));
    if (Last || Last.error().Code == ResultCode::RecordNotFound)
      return Last;
  }
  return Last;
}

std::vector<EntryResponse> OperatorClient::readAll(const std::string &Path) {
  std::vector<std::future<HttpOutcome>> Pending;
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry)
    Pending.push_back(std::async(std::launch::async, [this, Entry, &Path] {
      return send(Entry, {HttpMethod::Get, Path, {}});
    }));
  std::vector<EntryResponse> Responses;
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry) {
    HttpOutcome Outcome = Pending[Entry].get();
    const auto *Failure = std::get_if<HttpFailure>(&Outcome);
    bool Listening = !Failure || Failure->MayHaveBeenProcessed;
    Responses.push_back(
        {m_Options.Entries[Entry], Listening, bodyOf(std::move(Outcome))});
  }
  return Responses;
}

/// Whether another entry may succeed after one has failed with \p Code.
static bool isWorthTryingNextEntry(ResultCode Code) {
  switch (Code) {
  case ResultCode::Overloaded:
  case ResultCode::Draining:
  case ResultCode::NotReady:
  case ResultCode::StoreUnavailable:
  case ResultCode::StoreConflict:
  case ResultCode::StoreOutcomeUnknown:
  case ResultCode::PeerUnreachable:
    return true;
  default:
    return false;
  }
}

/// Once an attempt may have taken effect, the error of a later entry is not
/// conclusive, because the first entry may still be processing the change. If
/// that error were reported, the operator would assume that a change was
/// rejected although it takes effect.
Result<std::string> OperatorClient::write(HttpMethod Verb,
                                          const std::string &Path,
                                          const std::string &Body) {
  bool MayHaveTakenEffect = false;
  Error Last{ResultCode::PeerUnreachable, "no entry was given", {}, {}};
  for (size_t Attempt = 0; Attempt < m_Calls.size() * m_Options.Rounds;
       ++Attempt) {
    size_t Entry = Attempt % m_Calls.size();
    if (Attempt > 0 && Entry == 0)
      std::this_thread::sleep_for(m_Options.RoundPause);
    HttpOutcome Outcome = send(Entry, {Verb, Path, Body, false});
    if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
      MayHaveTakenEffect |= Failure->MayHaveBeenProcessed;
    auto Response = bodyOf(std::move(Outcome));
    if (Response)
      return Response;
    Last = Response.error();
    MayHaveTakenEffect |= Last.Code == ResultCode::StoreOutcomeUnknown ||
                          Last.Code == ResultCode::Internal;
    if (!isWorthTryingNextEntry(Last.Code))
      break;
  }
  if (MayHaveTakenEffect && Last.Code != ResultCode::StoreOutcomeUnknown)
    Last = {ResultCode::StoreOutcomeUnknown,
            "an earlier attempt may have taken effect (" + Last.Message + ")",
            Last.Field, std::nullopt};
  return outcome::failure(std::move(Last));
}

} // namespace figlift::config
