//===- HttpPlatform.cpp - The platform over HTTP --------------------------===//
//
// Builds the questions, reads the answers, and turns their failures into
// result codes.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/HttpPlatform.h"

#include <cpprest/base_uri.h>
#include <nlohmann/json.hpp>

namespace figlift::platform {

using Json = nlohmann::json;

static std::string encoded(const std::string &Text) {
  return web::uri::encode_data_string(Text);
}

static Error unavailable(std::string Message) {
  return {ResultCode::StoreUnavailable, std::move(Message), {}, std::nullopt};
}

/// A question whose answer grows with the fleet or its configuration.
static HttpQuestion largeQuestion(std::string Path) {
  HttpQuestion Question;
  Question.Path = std::move(Path);
  Question.HasLargeAnswer = true;
  return Question;
}

/// The body of a 200 answer to a question that changes nothing.
static Result<std::string> readAnswer(HttpOutcome Outcome) {
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return outcome::failure(unavailable(std::move(Failure->Message)));
  auto &Answer = std::get<HttpAnswer>(Outcome);
  if (Answer.Status == 200)
    return std::move(Answer.Body);
  Error Why = unavailable("status " + std::to_string(Answer.Status));
  Why.RetryAfter = Answer.RetryAfter;
  return outcome::failure(std::move(Why));
}

/// Success, or whether the write may have happened.
static Result<std::monostate> writeAnswer(const HttpOutcome &Outcome) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failure(Failure->MayHaveBeenProcessed
                       ? ResultCode::StoreOutcomeUnknown
                       : ResultCode::StoreUnavailable,
                   Failure->Message);
  const auto &Answer = std::get<HttpAnswer>(Outcome);
  if (Answer.Status >= 200 && Answer.Status < 300)
    return std::monostate();
  std::string Message = "status " + std::to_string(Answer.Status);
  if (Answer.Status == 409)
    return failure(ResultCode::StoreConflict, Answer.Body);
  if (Answer.Status >= 400 && Answer.Status < 500 && Answer.Status != 429 &&
      Answer.Status != 408)
    return failure(ResultCode::Internal, Message + ": " + Answer.Body);
  if (Answer.Status != 503 && Answer.Status != 429)
    return failure(ResultCode::StoreOutcomeUnknown, Message);
  Error Why = unavailable(std::move(Message));
  Why.RetryAfter = Answer.RetryAfter;
  return outcome::failure(std::move(Why));
}

/// Parses a good answer with \p Read; malformed JSON counts as unavailable.
template <typename T, typename Reader>
static Result<T> parsed(HttpOutcome Outcome, Reader Read) {
  FIGLIFT_TRY(Body, readAnswer(std::move(Outcome)));
  try {
    return Read(Json::parse(Body));
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::StoreUnavailable, Exception.what());
  }
}

static Row rowFrom(const Json &Value) {
  return {Value.at("key").get<std::string>(),
          Value.at("version").get<uint64_t>(),
          Value.at("value").get<std::string>()};
}

static std::vector<Row> rowsFrom(const Json &Value) {
  std::vector<Row> Rows;
  for (const Json &Each : Value.at("rows"))
    Rows.push_back(rowFrom(Each));
  return Rows;
}

static VmState stateFrom(const std::string &Text) {
  if (Text == "live")
    return VmState::Live;
  return Text == "leaving" ? VmState::Leaving : VmState::Gone;
}

/// Absent when the line names no usable address.
static std::optional<Vm> vmFrom(const Json &Value) {
  auto Peer = Endpoint::parse(Value.at("peer").get<std::string>());
  if (!Peer)
    return std::nullopt;
  Vm Line;
  Line.Id = Value.at("id");
  Line.Kind = Value.at("kind") == "entry" ? VmKind::Entry : VmKind::Target;
  Line.BackEnd = Value.value("backEnd", "");
  Line.Zone = Value.value("zone", "");
  Line.Region = Value.value("region", "");
  Line.Peer = Peer.value();
  Line.State = stateFrom(Value.at("state"));
  return Line;
}

static std::vector<Vm> vmsFrom(const Json &Value) {
  std::vector<Vm> Lines;
  for (const Json &Each : Value.at("vms"))
    if (auto Line = vmFrom(Each))
      Lines.push_back(std::move(*Line));
  return Lines;
}

static std::string bodyOf(const Transaction &What) {
  Json Body = {{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const auto &[Key, Version] : What.Conditions)
    Body["conditions"].push_back({{"key", Key}, {"version", Version}});
  for (const auto &[Key, Value] : What.Writes) {
    Json Line = {{"key", Key}};
    if (Value)
      Line["value"] = *Value;
    else
      Line["delete"] = true;
    Body["writes"].push_back(std::move(Line));
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// The VM list as it was read last, with the tag that the platform gave it.
/// Every process reads the list, and it rarely changes: sent whole each time,
/// it would take several times a daemon's budget of control bytes in a fleet
/// of a thousand VMs. A platform without tags is read whole.
class HttpPlatform::ListCache {
public:
  std::string tag() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Tag;
  }

  Result<std::vector<Vm>> take(HttpOutcome Outcome) {
    const auto *Answer = std::get_if<HttpAnswer>(&Outcome);
    const bool Unchanged = Answer && Answer->Status == NotModified;
    const std::string Tag = Answer ? Answer->ETag : std::string();
    if (!Unchanged) {
      FIGLIFT_TRY(Read, parsed<std::vector<Vm>>(std::move(Outcome), vmsFrom));
      const std::lock_guard Lock(m_Mutex);
      m_Tag = Tag;
      m_Lines = std::move(Read);
      return m_Lines;
    }
    const std::lock_guard Lock(m_Mutex);
    return m_Lines;
  }

private:
  static constexpr int NotModified = 304;

  mutable std::mutex m_Mutex;
  std::string m_Tag;
  std::vector<Vm> m_Lines;
};

Result<std::unique_ptr<HttpPlatform>>
HttpPlatform::create(const HttpCallOptions &Options) {
  if (Options.Timeout <= std::chrono::milliseconds::zero())
    return failure(ResultCode::SettingsInvalid,
                   "the timeout must be greater than 0", "platform.timeout");
  try {
    return std::unique_ptr<HttpPlatform>(
        new HttpPlatform(std::make_shared<HttpCalls>(Options)));
  } catch (const std::exception &Exception) {
    return failure(ResultCode::SettingsInvalid, Exception.what(),
                   "platform.address");
  }
}

HttpPlatform::HttpPlatform(std::shared_ptr<HttpCalls> Calls)
    : m_Calls(std::move(Calls)), m_List(std::make_shared<ListCache>()) {}

HttpPlatform::~HttpPlatform() { m_Calls->stop(); }

void HttpPlatform::read(std::string Key, Callback<Row> Done) {
  m_Calls->submit({HttpVerb::Get, "/v1/table/row?key=" + encoded(Key), {}},
                  [Done = std::move(Done)](HttpOutcome Outcome) {
                    Done(parsed<Row>(std::move(Outcome), rowFrom));
                  });
}

void HttpPlatform::readRange(std::string Prefix, std::string After,
                             size_t Limit, Callback<std::vector<Row>> Done) {
  std::string Path = "/v1/table/range?prefix=" + encoded(Prefix) +
                     "&after=" + encoded(After) +
                     "&limit=" + std::to_string(Limit);
  m_Calls->submit(largeQuestion(std::move(Path)), [Done = std::move(Done)](
                                                      HttpOutcome Outcome) {
    Done(parsed<std::vector<Row>>(std::move(Outcome), rowsFrom));
  });
}

void HttpPlatform::commit(Transaction What, Callback<std::monostate> Done) {
  m_Calls->submit({HttpVerb::Post, "/v1/table/commit", bodyOf(What), false},
                  [Done = std::move(Done)](HttpOutcome Outcome) {
                    Done(writeAnswer(Outcome));
                  });
}

void HttpPlatform::put(std::string Name, std::string Body,
                       Callback<std::monostate> Done) {
  m_Calls->submit(
      {HttpVerb::Put, "/v1/objects/" + encoded(Name), std::move(Body)},
      [Done = std::move(Done)](HttpOutcome Outcome) {
        Done(writeAnswer(Outcome));
      });
}

void HttpPlatform::get(std::string Name, Callback<std::string> Done) {
  m_Calls->submit(largeQuestion("/v1/objects/" + encoded(Name)),
                  [Done = std::move(Done)](HttpOutcome Outcome) {
                    Done(readAnswer(std::move(Outcome)));
                  });
}

void HttpPlatform::list(Callback<std::vector<Vm>> Done) {
  HttpQuestion Question = largeQuestion("/v1/vms");
  Question.IfNoneMatch = m_List->tag();
  m_Calls->submit(std::move(Question), [Cache = m_List, Done = std::move(Done)](
                                           HttpOutcome Outcome) {
    Done(Cache->take(std::move(Outcome)));
  });
}

} // namespace figlift::platform
