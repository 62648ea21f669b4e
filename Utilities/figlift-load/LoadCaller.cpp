//===- LoadCaller.cpp - Sends the requests of a load run ------------------===//
//
// Receives response chunks as they arrive from the socket and records their
// arrival times.
//
//===----------------------------------------------------------------------===//

#include "LoadCaller.h"

#include "SinkBuffer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace figlift;
using namespace figlift::load;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EndOfStream = "data: [DONE]";
/// A rejection is late after this fraction, 1/N, of the deadline.
constexpr unsigned LateRejectionDivisor = 2;
constexpr unsigned MinimumErrorStatus = 300;
/// cpprestsdk takes any number for a status, and interim responses for final
/// ones.
constexpr unsigned MinimumStatus = 200;

size_t countOccurrences(std::string_view Text, std::string_view Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string_view::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

/// Whether the head tells where the answer ends. Entries always do; otherwise
/// the answer ends with its connection, as one does whose server ends.
bool isFramed(const web::http::http_response &Response) {
  return Response.status_code() == web::http::status_codes::NoContent ||
         Response.headers().has("Content-Length") ||
         Response.headers().has("Transfer-Encoding");
}

} // namespace

/// One request in flight.
struct LoadCaller::Call {
  Outcome Result;
  milliseconds Deadline{0};
  bool IsCompletion = false;
  unsigned Status = 0;
  std::string Body;
  steady_clock::time_point Begin;
  steady_clock::time_point LastChunk;
  bool IsFramed = false;
  bool IsComplete = false;

  void recordChunk(std::string_view Chunk);
  void classify();
};

void LoadCaller::Call::recordChunk(std::string_view Chunk) {
  Body += Chunk;
  auto Now = steady_clock::now();
  if (Result.FirstToken.count() == 0)
    Result.FirstToken = duration_cast<microseconds>(Now - Begin);
  else
    Result.LongestGap = std::max(Result.LongestGap,
                                 duration_cast<microseconds>(Now - LastChunk));
  LastChunk = Now;
}

void LoadCaller::Call::classify() {
  Result.Total = duration_cast<microseconds>(steady_clock::now() - Begin);
  if (Status == 200 && IsCompletion) {
    IsComplete &= Body.find(EndOfStream) != std::string::npos;
    size_t Events = countOccurrences(Body, EventPrefix);
    // The last two events carry the finish reason and the end of the stream,
    // not tokens.
    Result.Tokens = Events > 2 ? Events - 2 : 0;
  } else if (Status < MinimumErrorStatus) {
    IsComplete &= IsFramed;
  }
  if (Result.Tokens > 1)
    Result.MeanGap = (Result.Total - Result.FirstToken) / (Result.Tokens - 1);
  if (Status < MinimumStatus || !IsComplete) {
    Result.Kind = OutcomeKind::Interrupted;
    return;
  }
  if (Status < MinimumErrorStatus) {
    Result.Kind =
        Result.Total <= Deadline ? OutcomeKind::Good : OutcomeKind::Late;
    return;
  }
  json Problem = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Problem.is_object()) {
    Result.Kind = OutcomeKind::Interrupted;
    return;
  }
  Result.Code = Problem.value("code", 0);
  if (Problem.value("executed", "") != "not-run")
    Result.Kind = OutcomeKind::Unknown;
  else
    Result.Kind = Result.Total * LateRejectionDivisor < Deadline
                      ? OutcomeKind::Rejected
                      : OutcomeKind::RejectedLate;
}

LoadCaller::LoadCaller(const std::vector<std::string> &Entries,
                       milliseconds Timeout, bool Direct)
    : m_Direct(Direct) {
  web::http::client::http_client_config Config;
  Config.set_timeout(Timeout);
  for (const std::string &Entry : Entries)
    m_Clients.push_back(std::make_unique<web::http::client::http_client>(
        "http://" + Entry, Config));
}

web::http::http_request LoadCaller::makeRequest(const Arrival &Scheduled,
                                                const Workload &Settings) {
  web::http::http_request Request(web::http::methods::POST);
  Request.headers().add("X-Figlift-Deadline",
                        std::to_string(Settings.Deadline.count()) + "ms");
  if (!Scheduled.Workspace.empty())
    Request.headers().add("X-Figlift-Workspace", Scheduled.Workspace);
  if (const auto *Service = std::get_if<ServiceWork>(&Settings.Work)) {
    Request.set_request_uri("/v1/services/" + Service->Service + Service->Path);
    if (Service->Keyed)
      Request.headers().add("Idempotency-Key", m_Keys.nextText());
    Request.set_body("{\"nonce\":" + std::to_string(Scheduled.Nonce) + "}",
                     "application/json");
    return Request;
  }
  const auto &Work = std::get<CompletionWork>(Settings.Work);
  json Body{{"model", Work.Model},
            {"prompt", makePrompt(Scheduled, Work)},
            {"max_tokens", Scheduled.OutputTokens},
            {"stream", true}};
  if (m_Direct)
    Body["request_id"] = m_Keys.nextText();
  Request.set_request_uri("/v1/completions");
  Request.set_body(Body.dump(), "application/json");
  return Request;
}

void LoadCaller::send(const Arrival &Scheduled, const Workload &Settings,
                      std::function<void()> Done) {
  auto Pending = std::make_shared<Call>();
  Pending->Result.Workload = Scheduled.Workload;
  Pending->Result.Workspace = Scheduled.Workspace;
  Pending->Deadline = Settings.Deadline;
  Pending->IsCompletion = std::holds_alternative<CompletionWork>(Settings.Work);
  web::http::http_request Request = makeRequest(Scheduled, Settings);
  auto &Client = *m_Clients[m_Next++ % m_Clients.size()];
  ++m_InFlight;
  Pending->Begin = steady_clock::now();
  // With cpprestsdk's own buffer, the complete response would count as one
  // chunk: a read from it returns only when the buffer is full or the body
  // ends.
  auto Sink = std::make_shared<SinkBuffer>(
      [Pending](std::string_view Chunk) { Pending->recordChunk(Chunk); });
  Request.set_response_stream(
      concurrency::streams::streambuf<uint8_t>(Sink).create_ostream());
  Client.request(Request)
      .then([Pending](const web::http::http_response &Response) {
        Pending->Status = Response.status_code();
        Pending->IsFramed = isFramed(Response);
        return Response.content_ready();
      })
      .then([this, Pending,
             Done](const pplx::task<web::http::http_response> &Last) {
        try {
          Last.get();
          Pending->IsComplete = true;
        } catch (const std::exception &) {
          // A lost connection is an outcome to report, not an error of the
          // tool.
          Pending->IsComplete = false;
        }
        finish(Pending);
        if (Done)
          Done();
      });
}

void LoadCaller::finish(const std::shared_ptr<Call> &Pending) {
  Pending->classify();
  std::lock_guard Guard(m_Mutex);
  m_Report.add(Pending->Result);
  --m_InFlight;
  m_AllDone.notify_all();
}

void LoadCaller::waitForAll() {
  std::unique_lock Guard(m_Mutex);
  m_AllDone.wait(Guard, [this] { return m_InFlight == 0; });
}
