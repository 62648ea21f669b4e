//===- Fetcher.cpp - Fetches the events of processes ----------------------===//
//
// The HTTP client restarts its timeout with every byte received, so a process
// that sends one byte a second would block the tool forever. The wait here has
// its own deadline. Exceptions of cpprestsdk are caught here and returned as
// errors.
//
//===----------------------------------------------------------------------===//

#include "Fetcher.h"

#include <cpprest/http_client.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace figlift::timeline {

namespace {

using web::http::client::http_client;

/// Longest wait for cancelled tasks to end.
constexpr std::chrono::milliseconds CancellationTimeout{1000};

/// State shared with the tasks, which may outlive the wait.
struct FetchState {
  std::mutex Mutex;
  std::condition_variable Changed;
  /// This and Pending are guarded by Mutex.
  std::vector<std::optional<Result<SourceResponse>>> Responses;
  size_t Pending = 0;

  void put(size_t Index, Result<SourceResponse> Response) {
    std::lock_guard Lock(Mutex);
    Responses[Index] = std::move(Response);
    --Pending;
    Changed.notify_all();
  }
};

Result<SourceResponse> unreachable(std::string Message) {
  return failure(ResultCode::PeerUnreachable, std::move(Message));
}

/// An HTTP response before its body is parsed.
struct RawResponse {
  int Status = 0;
  std::string Body;
};

Result<SourceResponse> toSourceResponse(const Endpoint &Address,
                                        const RawResponse &Raw) {
  if (Raw.Status != web::http::status_codes::OK)
    return unreachable("responded with status " + std::to_string(Raw.Status));
  return parseResponse(Address, Raw.Body);
}

pplx::task<RawResponse> receiveBody(const web::http::http_response &Response) {
  return Response.extract_utf8string(true).then(
      [Status = Response.status_code()](std::string Body) {
        return RawResponse{Status, std::move(Body)};
      });
}

void startFetch(const std::shared_ptr<FetchState> &State, size_t Index,
                const Endpoint &Address, const std::string &After,
                std::chrono::milliseconds Timeout,
                const pplx::cancellation_token &Stop) try {
  web::http::client::http_client_config Config;
  Config.set_timeout(Timeout);
  auto Client = std::make_shared<http_client>(
      web::uri("http://" + Address.toString()), Config);
  web::uri_builder Path("/timeline");
  if (!After.empty())
    Path.append_query("after", After);
  Client->request(web::http::methods::GET, Path.to_string(), Stop)
      .then(receiveBody)
      .then(
          [State, Index, Client, Address](const pplx::task<RawResponse> &Done) {
            try {
              State->put(Index, toSourceResponse(Address, Done.get()));
            } catch (const std::exception &Exception) {
              State->put(Index, unreachable(Exception.what()));
            }
          });
} catch (const std::exception &Exception) {
  State->put(Index, unreachable(Exception.what()));
}

SourceResponse toResult(const Endpoint &Address,
                        const std::optional<Result<SourceResponse>> &Response) {
  if (Response && Response->has_value())
    return Response->value();
  SourceResponse Failed;
  Failed.Origin.Address = Address;
  Failed.Origin.Failure = Response
                              ? Response->error()
                              : Error{ResultCode::PeerUnreachable,
                                      "no complete response within the timeout",
                                      {},
                                      std::nullopt};
  return Failed;
}

} // namespace

std::vector<SourceResponse> fetchAll(const std::vector<Endpoint> &Processes,
                                     const std::string &After,
                                     std::chrono::milliseconds Timeout) {
  auto State = std::make_shared<FetchState>();
  State->Responses.resize(Processes.size());
  State->Pending = Processes.size();
  pplx::cancellation_token_source Stop;
  for (size_t I = 0; I < Processes.size(); ++I)
    startFetch(State, I, Processes[I], After, Timeout, Stop.get_token());

  std::unique_lock Lock(State->Mutex);
  auto AllDone = [&] { return State->Pending == 0; };
  State->Changed.wait_for(Lock, Timeout, AllDone);
  std::vector<SourceResponse> Results;
  for (size_t I = 0; I < Processes.size(); ++I)
    Results.push_back(toResult(Processes[I], State->Responses[I]));
  Lock.unlock();

  // A task that still runs while the program exits would use destroyed objects.
  // Cancelled tasks end soon.
  Stop.cancel();
  Lock.lock();
  State->Changed.wait_for(Lock, CancellationTimeout, AllDone);
  return Results;
}

} // namespace figlift::timeline
