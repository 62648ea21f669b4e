//===- OperatorClient.cpp - Talks to the operator API ---------------------===//
//
// What each kind of answer means for a write.
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
    platform::HttpCallOptions Each;
    Each.Server = Entry;
    Each.Timeout = m_Options.Timeout;
    m_Calls.push_back(std::make_shared<BoundedHttpClient>(Each));
  }
}

OperatorClient::~OperatorClient() {
  for (auto &Each : m_Calls)
    Each->stop();
}

HttpOutcome OperatorClient::ask(size_t Entry, HttpRequest Question) {
  std::promise<HttpOutcome> Promise;
  m_Calls[Entry]->submit(std::move(Question), [&Promise](HttpOutcome Outcome) {
    Promise.set_value(std::move(Outcome));
  });
  return Promise.get_future().get();
}

/// The error in a problem answer.
static Error problemOf(const HttpResponse &Answer) {
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  Error Why{ResultCode::Internal,
            "status " + std::to_string(Answer.Status),
            {},
            Answer.RetryAfter};
  if (!Body.is_object())
    return Why;
  if (auto Code = Body.find("code");
      Code != Body.end() && Code->is_number_integer())
    Why.Code =
        resultCodeFromNumber(Code->get<int>()).value_or(ResultCode::Internal);
  if (auto Text = Body.find("detail"); Text != Body.end() && Text->is_string())
    Why.Message = Text->get<std::string>();
  if (auto Field = Body.find("field");
      Field != Body.end() && Field->is_string())
    Why.Field = Field->get<std::string>();
  return Why;
}

static Result<std::string> bodyOf(HttpOutcome Outcome) {
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failure(ResultCode::PeerUnreachable, std::move(Failure->Message));
  auto &Answer = std::get<HttpResponse>(Outcome);
  if (Answer.Status == 200)
    return std::move(Answer.Body);
  return outcome::failure(problemOf(Answer));
}

Result<std::string> OperatorClient::read(const std::string &Path) {
  Result<std::string> Last =
      failure(ResultCode::PeerUnreachable, "no entry was given");
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry) {
    Last = bodyOf(ask(Entry, {HttpMethod::Get, Path, {}}));
    if (Last || Last.error().Code == ResultCode::RecordNotFound)
      return Last;
  }
  return Last;
}

std::vector<EntryAnswer> OperatorClient::readAll(const std::string &Path) {
  std::vector<std::future<HttpOutcome>> Asked;
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry)
    Asked.push_back(std::async(std::launch::async, [this, Entry, &Path] {
      return ask(Entry, {HttpMethod::Get, Path, {}});
    }));
  std::vector<EntryAnswer> Answers;
  for (size_t Entry = 0; Entry < m_Calls.size(); ++Entry) {
    HttpOutcome Outcome = Asked[Entry].get();
    const auto *Failure = std::get_if<HttpFailure>(&Outcome);
    bool Running = !Failure || Failure->MayHaveBeenProcessed;
    Answers.push_back(
        {m_Options.Entries[Entry], Running, bodyOf(std::move(Outcome))});
  }
  return Answers;
}

/// Whether another entry may do what this one could not.
static bool mayHelpElsewhere(ResultCode Code) {
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

/// Once one attempt may have done the change, a later entry's failure proves
/// nothing: the first may still be at work on it. To report that failure would
/// tell the operator that a change was refused which is then in force.
Result<std::string> OperatorClient::write(HttpMethod Verb,
                                          const std::string &Path,
                                          const std::string &Body) {
  bool MayBeDone = false;
  Error Last{ResultCode::PeerUnreachable, "no entry was given", {}, {}};
  for (size_t Attempt = 0; Attempt < m_Calls.size() * m_Options.Rounds;
       ++Attempt) {
    size_t Entry = Attempt % m_Calls.size();
    if (Attempt > 0 && Entry == 0)
      std::this_thread::sleep_for(m_Options.RoundPause);
    HttpOutcome Outcome = ask(Entry, {Verb, Path, Body, false});
    if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
      MayBeDone |= Failure->MayHaveBeenProcessed;
    auto Answer = bodyOf(std::move(Outcome));
    if (Answer)
      return Answer;
    Last = Answer.error();
    MayBeDone |= Last.Code == ResultCode::StoreOutcomeUnknown ||
                 Last.Code == ResultCode::Internal;
    if (!mayHelpElsewhere(Last.Code))
      break;
  }
  if (MayBeDone && Last.Code != ResultCode::StoreOutcomeUnknown)
    Last = {ResultCode::StoreOutcomeUnknown,
            "an earlier attempt may have made the change (" + Last.Message +
                ")",
            Last.Field, std::nullopt};
  return outcome::failure(std::move(Last));
}

} // namespace figlift::config
