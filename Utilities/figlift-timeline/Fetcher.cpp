//===- Fetcher.cpp - Asks processes for their events ----------------------===//
//
// The client's own timeout begins anew with every byte, so that a process which
// sends one byte a second would hold the tool for ever; the wait here has a
// deadline of its own. Exceptions of cpprestsdk end here.
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

/// Bound of the wait for cancelled tasks.
constexpr std::chrono::milliseconds CancellationTime{1000};

/// Shared with the tasks, which may outlive the wait.
struct Shared {
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Both guarded by Mutex.
  std::vector<std::optional<Result<SourceAnswer>>> Answers;
  size_t Missing = 0;

  void put(size_t Index, Result<SourceAnswer> Answer) {
    std::lock_guard Lock(Mutex);
    Answers[Index] = std::move(Answer);
    --Missing;
    Changed.notify_all();
  }
};

Result<SourceAnswer> unreachable(std::string Message) {
  return failure(ResultCode::PeerUnreachable, std::move(Message));
}

/// What came back, before it is read.
struct RawAnswer {
  int Status = 0;
  std::string Body;
};

Result<SourceAnswer> readAnswer(const Endpoint &From, const RawAnswer &Raw) {
  if (Raw.Status != web::http::status_codes::OK)
    return unreachable("answered with status " + std::to_string(Raw.Status));
  return parseAnswer(From, Raw.Body);
}

pplx::task<RawAnswer> receiveBody(const web::http::http_response &Response) {
  return Response.extract_utf8string(true).then(
      [Status = Response.status_code()](std::string Body) {
        return RawAnswer{Status, std::move(Body)};
      });
}

void begin(const std::shared_ptr<Shared> &Into, size_t Index,
           const Endpoint &From, const std::string &After,
           std::chrono::milliseconds Timeout,
           const pplx::cancellation_token &Stop) try {
  web::http::client::http_client_config Config;
  Config.set_timeout(Timeout);
  auto Client = std::make_shared<http_client>(
      web::uri("http://" + From.toString()), Config);
  web::uri_builder Path("/timeline");
  if (!After.empty())
    Path.append_query("after", After);
  Client->request(web::http::methods::GET, Path.to_string(), Stop)
      .then(receiveBody)
      .then([Into, Index, Client, From](const pplx::task<RawAnswer> &Done) {
        try {
          Into->put(Index, readAnswer(From, Done.get()));
        } catch (const std::exception &Thrown) {
          Into->put(Index, unreachable(Thrown.what()));
        }
      });
} catch (const std::exception &Thrown) {
  Into->put(Index, unreachable(Thrown.what()));
}

SourceAnswer finish(const Endpoint &From,
                    const std::optional<Result<SourceAnswer>> &Answer) {
  if (Answer && Answer->has_value())
    return Answer->value();
  SourceAnswer Failed;
  Failed.From.Address = From;
  Failed.From.Failure = Answer ? Answer->error()
                               : Error{ResultCode::PeerUnreachable,
                                       "no whole answer within the timeout",
                                       {},
                                       std::nullopt};
  return Failed;
}

} // namespace

std::vector<SourceAnswer> fetchAll(const std::vector<Endpoint> &Processes,
                                   const std::string &After,
                                   std::chrono::milliseconds Timeout) {
  auto Gathered = std::make_shared<Shared>();
  Gathered->Answers.resize(Processes.size());
  Gathered->Missing = Processes.size();
  pplx::cancellation_token_source Stop;
  for (size_t I = 0; I < Processes.size(); ++I)
    begin(Gathered, I, Processes[I], After, Timeout, Stop.get_token());

  std::unique_lock Lock(Gathered->Mutex);
  auto AllEnded = [&] { return Gathered->Missing == 0; };
  Gathered->Changed.wait_for(Lock, Timeout, AllEnded);
  std::vector<SourceAnswer> Finished;
  for (size_t I = 0; I < Processes.size(); ++I)
    Finished.push_back(finish(Processes[I], Gathered->Answers[I]));
  Lock.unlock();

  // A task that still ran while the program exits would use what is already
  // destroyed; cancelled tasks end soon.
  Stop.cancel();
  Lock.lock();
  Gathered->Changed.wait_for(Lock, CancellationTime, AllEnded);
  return Finished;
}

} // namespace figlift::timeline
