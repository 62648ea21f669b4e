//===- HttpPlatform.cpp - Platform client over HTTP -----------------------===//
//
// Builds requests, parses responses and maps failures to result codes.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/HttpPlatform.h"

#include <cpprest/base_uri.h>
#include <nlohmann/json.hpp>

namespace figlift::platform {

using Json = nlohmann::json;

static std::string percentEncode(const std::string &Text) {
  return web::uri::encode_data_string(Text);
}

static Error unavailable(std::string Message) {
  return {ResultCode::StoreUnavailable, std::move(Message), {}, std::nullopt};
}

/// A request whose response grows with the fleet or its configuration.
static HttpRequest largeRequest(std::string Path) {
  HttpRequest Request;
  Request.Path = std::move(Path);
  Request.HasLargeResponse = true;
  return Request;
}

/// The body of a 200 response to a read.
static Result<std::string> readResult(HttpOutcome Outcome) {
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return outcome::failure(unavailable(std::move(Failure->Message)));
  auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.Status == 200)
    return std::move(Response.Body);
  Error Reason = unavailable("status " + std::to_string(Response.Status));
  Reason.RetryAfter = Response.RetryAfter;
  return outcome::failure(std::move(Reason));
}

/// Success, or an error that says whether the write may have been executed.
static Result<std::monostate> writeResult(const HttpOutcome &Outcome) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failure(Failure->MayHaveBeenProcessed
                       ? ResultCode::StoreOutcomeUnknown
                       : ResultCode::StoreUnavailable,
                   Failure->Message);
  const auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.Status >= 200 && Response.Status < 300)
    return std::monostate();
  std::string Message = "status " + std::to_string(Response.Status);
  if (Response.Status == 409)
    return failure(ResultCode::StoreConflict, Response.Body);
  if (Response.Status >= 400 && Response.Status < 500 &&
      Response.Status != 429 && Response.Status != 408)
    return failure(ResultCode::Internal, Message + ": " + Response.Body);
  if (Response.Status != 503 && Response.Status != 429)
    return failure(ResultCode::StoreOutcomeUnknown, Message);
  Error Reason = unavailable(std::move(Message));
  Reason.RetryAfter = Response.RetryAfter;
  return outcome::failure(std::move(Reason));
}

/// Parses a successful response with \p Read; malformed JSON is reported as
/// StoreUnavailable.
template <typename T, typename Reader>
static Result<T> parseResponse(HttpOutcome Outcome, Reader Read) {
  FIGLIFT_TRY(Body, readResult(std::move(Outcome)));
  try {
    return Read(Json::parse(Body));
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::StoreUnavailable, Exception.what());
  }
}

static Row parseRow(const Json &Value) {
  return {Value.at("key").get<std::string>(),
          Value.at("version").get<uint64_t>(),
          Value.at("value").get<std::string>()};
}

static std::vector<Row> parseRows(const Json &Value) {
  std::vector<Row> Rows;
  for (const Json &Item : Value.at("rows"))
    Rows.push_back(parseRow(Item));
  return Rows;
}

static VmState parseState(const std::string &Text) {
  if (Text == "live")
    return VmState::Live;
  return Text == "leaving" ? VmState::Leaving : VmState::Gone;
}

/// Nothing when the entry has no valid address.
static std::optional<Vm> parseVm(const Json &Value) {
  auto Peer = Endpoint::parse(Value.at("peer").get<std::string>());
  if (!Peer)
    return std::nullopt;
  Vm Entry;
  Entry.Id = Value.at("id");
  Entry.Kind = Value.at("kind") == "entry" ? VmKind::Entry : VmKind::Target;
  Entry.BackEnd = Value.value("backEnd", "");
  Entry.Zone = Value.value("zone", "");
  Entry.Region = Value.value("region", "");
  Entry.Peer = Peer.value();
  Entry.State = parseState(Value.at("state"));
  return Entry;
}

static std::vector<Vm> parseVms(const Json &Value) {
  std::vector<Vm> Entries;
  for (const Json &Item : Value.at("vms"))
    if (auto Entry = parseVm(Item))
      Entries.push_back(std::move(*Entry));
  return Entries;
}

static std::string encodeTransaction(const Transaction &Changes) {
  Json Body = {{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const auto &[Key, Version] : Changes.Conditions)
    Body["conditions"].push_back({{"key", Key}, {"version", Version}});
  for (const auto &[Key, Value] : Changes.Writes) {
    Json Entry = {{"key", Key}};
    if (Value)
      Entry["value"] = *Value;
    else
      Entry["delete"] = true;
    Body["writes"].push_back(std::move(Entry));
  }
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// The last VM list read, with its ETag. Every process polls the list, which
/// rarely changes. Transferring it completely each time would exceed a
/// process's budget of control bytes several times in a fleet of a thousand
/// VMs. Without an ETag from the platform, the complete list is read each time.
class HttpPlatform::ListCache {
public:
  std::string tag() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Tag;
  }

  Result<std::vector<Vm>> update(HttpOutcome Outcome) {
    const auto *Response = std::get_if<HttpResponse>(&Outcome);
    const bool Unchanged = Response && Response->Status == NotModified;
    const std::string Tag = Response ? Response->ETag : std::string();
    if (!Unchanged) {
      FIGLIFT_TRY(Vms,
                  parseResponse<std::vector<Vm>>(std::move(Outcome), parseVms));
      const std::lock_guard Lock(m_Mutex);
      m_Tag = Tag;
      m_Entries = std::move(Vms);
      return m_Entries;
    }
    const std::lock_guard Lock(m_Mutex);
    return m_Entries;
  }

private:
  static constexpr int NotModified = 304;

  mutable std::mutex m_Mutex;
  std::string m_Tag;
  std::vector<Vm> m_Entries;
};

Result<std::unique_ptr<HttpPlatform>>
HttpPlatform::create(const HttpCallOptions &Options) {
  if (Options.Timeout <= std::chrono::milliseconds::zero())
    return failure(ResultCode::SettingsInvalid,
                   "the timeout must be greater than 0", "platform.timeout");
  try {
    return std::unique_ptr<HttpPlatform>(
        new HttpPlatform(std::make_shared<BoundedHttpClient>(Options)));
  } catch (const std::exception &Exception) {
    return failure(ResultCode::SettingsInvalid, Exception.what(),
                   "platform.address");
  }
}

HttpPlatform::HttpPlatform(std::shared_ptr<BoundedHttpClient> Client)
    : m_Client(std::move(Client)), m_ListCache(std::make_shared<ListCache>()) {}

HttpPlatform::~HttpPlatform() { m_Client->stop(); }

void HttpPlatform::read(std::string Key, Callback<Row> Done) {
  m_Client->submit(
      {HttpMethod::Get, "/v1/table/row?key=" + percentEncode(Key), {}},
      [Done = std::move(Done)](HttpOutcome Outcome) {
        Done(parseResponse<Row>(std::move(Outcome), parseRow));
      });
}

void HttpPlatform::readRange(std::string Prefix, std::string After,
                             size_t Limit, Callback<std::vector<Row>> Done) {
  std::string Path = "/v1/table/range?prefix=" + percentEncode(Prefix) +
                     "&after=" + percentEncode(After) +
                     "&limit=" + std::to_string(Limit);
  m_Client->submit(largeRequest(std::move(Path)), [Done = std::move(Done)](
                                                      HttpOutcome Outcome) {
    Done(parseResponse<std::vector<Row>>(std::move(Outcome), parseRows));
  });
}

void HttpPlatform::commit(Transaction Changes, Callback<std::monostate> Done) {
  m_Client->submit(
      {HttpMethod::Post, "/v1/table/commit", encodeTransaction(Changes), false},
      [Done = std::move(Done)](HttpOutcome Outcome) {
        Done(writeResult(Outcome));
      });
}

void HttpPlatform::put(std::string Name, std::string Body,
                       Callback<std::monostate> Done) {
  m_Client->submit(
      {HttpMethod::Put, "/v1/objects/" + percentEncode(Name), std::move(Body)},
      [Done = std::move(Done)](HttpOutcome Outcome) {
        Done(writeResult(Outcome));
      });
}

void HttpPlatform::get(std::string Name, Callback<std::string> Done) {
  m_Client->submit(largeRequest("/v1/objects/" + percentEncode(Name)),
                   [Done = std::move(Done)](HttpOutcome Outcome) {
                     Done(readResult(std::move(Outcome)));
                   });
}

void HttpPlatform::list(Callback<std::vector<Vm>> Done) {
  HttpRequest Request = largeRequest("/v1/vms");
  Request.IfNoneMatch = m_ListCache->tag();
  m_Client->submit(
      std::move(Request),
      [Cache = m_ListCache, Done = std::move(Done)](HttpOutcome Outcome) {
        Done(Cache->update(std::move(Outcome)));
      });
}

} // namespace figlift::platform
