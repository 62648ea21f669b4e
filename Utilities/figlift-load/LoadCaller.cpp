//===- LoadCaller.cpp - Sends the requests of a load run ------------------===//
//
// Takes answers as they come from the socket and notes when each part came.
//
//===----------------------------------------------------------------------===//

#include "LoadCaller.h"

#include "LibTarget/SinkBuffer.h"

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
constexpr unsigned LateShareOfDeadline = 2;

size_t countOf(std::string_view Text, std::string_view Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string_view::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

} // namespace

/// One request on its way.
struct LoadCaller::Call {
  Outcome Result;
  milliseconds Deadline{0};
  bool IsCompletion = false;
  unsigned Status = 0;
  std::string Body;
  steady_clock::time_point Begin;
  steady_clock::time_point LastPart;
  bool Whole = false;

  void notePart(std::string_view Part);
  void conclude();
};

void LoadCaller::Call::notePart(std::string_view Part) {
  Body += Part;
  auto Now = steady_clock::now();
  if (Result.FirstToken.count() == 0)
    Result.FirstToken = duration_cast<microseconds>(Now - Begin);
  else
    Result.LongestGap = std::max(Result.LongestGap,
                                 duration_cast<microseconds>(Now - LastPart));
  LastPart = Now;
}

void LoadCaller::Call::conclude() {
  Result.Total = duration_cast<microseconds>(steady_clock::now() - Begin);
  if (Status == 200 && IsCompletion) {
    Whole &= Body.find(EndOfStream) != std::string::npos;
    size_t Events = countOf(Body, EventPrefix);
    // The last chunk names the reason, the one after it ends the stream.
    Result.Tokens = Events > 2 ? Events - 2 : 0;
  }
  if (Result.Tokens > 1)
    Result.MeanGap = (Result.Total - Result.FirstToken) / (Result.Tokens - 1);
  if (Status == 0 || !Whole) {
    Result.End = Ending::Broken;
    return;
  }
  if (Status < 300) {
    Result.End = Result.Total <= Deadline ? Ending::Good : Ending::Late;
    return;
  }
  json Problem = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Problem.is_object()) {
    Result.End = Ending::Broken;
    return;
  }
  Result.Code = Problem.value("code", 0);
  if (Problem.value("executed", "") != "not-run")
    Result.End = Ending::Unknown;
  else
    Result.End = Result.Total * LateShareOfDeadline < Deadline
                     ? Ending::Refused
                     : Ending::RefusedLate;
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

web::http::http_request LoadCaller::makeRequest(const Arrival &Which,
                                                const Workload &What) {
  web::http::http_request Request(web::http::methods::POST);
  Request.headers().add("X-Figlift-Deadline",
                        std::to_string(What.Deadline.count()) + "ms");
  if (!Which.Workspace.empty())
    Request.headers().add("X-Figlift-Workspace", Which.Workspace);
  if (const auto *Service = std::get_if<ServiceWork>(&What.Work)) {
    Request.set_request_uri("/v1/services/" + Service->Service + Service->Path);
    if (Service->Keyed)
      Request.headers().add("Idempotency-Key", m_Keys.nextText());
    Request.set_body("{\"nonce\":" + std::to_string(Which.Nonce) + "}",
                     "application/json");
    return Request;
  }
  const auto &Work = std::get<CompletionWork>(What.Work);
  json Body{{"model", Work.Model},
            {"prompt", makePrompt(Which, Work)},
            {"max_tokens", Which.OutputTokens},
            {"stream", true}};
  if (m_Direct)
    Body["request_id"] = m_Keys.nextText();
  Request.set_request_uri("/v1/completions");
  Request.set_body(Body.dump(), "application/json");
  return Request;
}

void LoadCaller::send(const Arrival &Which, const Workload &What,
                      std::function<void()> Done) {
  auto Running = std::make_shared<Call>();
  Running->Result.Workload = Which.Workload;
  Running->Result.Workspace = Which.Workspace;
  Running->Deadline = What.Deadline;
  Running->IsCompletion = std::holds_alternative<CompletionWork>(What.Work);
  web::http::http_request Request = makeRequest(Which, What);
  auto &Client = *m_Clients[m_Next++ % m_Clients.size()];
  ++m_InFlight;
  Running->Begin = steady_clock::now();
  // Read through cpprestsdk's own buffer, the whole answer would count as one
  // part: a read of it ends when it is full or the body has ended.
  auto Sink = std::make_shared<target::SinkBuffer>(
      [Running](std::string_view Part) { Running->notePart(Part); });
  Request.set_response_stream(
      concurrency::streams::streambuf<uint8_t>(Sink).create_ostream());
  Client.request(Request)
      .then([Running](const web::http::http_response &Response) {
        Running->Status = Response.status_code();
        return Response.content_ready();
      })
      .then([this, Running,
             Done](const pplx::task<web::http::http_response> &Last) {
        try {
          Last.get();
          Running->Whole = true;
        } catch (const std::exception &) {
          // A lost connection is an outcome of the run, not a fault of ours.
          Running->Whole = false;
        }
        finish(Running);
        if (Done)
          Done();
      });
}

void LoadCaller::finish(const std::shared_ptr<Call> &Ended) {
  Ended->conclude();
  std::lock_guard Guard(m_Mutex);
  m_Report.add(Ended->Result);
  --m_InFlight;
  m_AllDone.notify_all();
}

void LoadCaller::waitForAll() {
  std::unique_lock Guard(m_Mutex);
  m_AllDone.wait(Guard, [this] { return m_InFlight == 0; });
}
