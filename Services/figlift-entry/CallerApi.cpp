//===- CallerApi.cpp - HTTP routes for callers ----------------------------===//
//
// See CallerApi.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/CallerApi.h"

#include "figlift-entry/Call.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace figlift::entry {

namespace {

using RequestParser = std::function<Result<CallerRequest>(const http::Request &,
                                                          const ReadContext &)>;

/// Parts of the serving state that are read once per request.
struct ServingSnapshot {
  config::SnapshotPointer Configuration;
  std::optional<Error> NotReady;
};

ServingSnapshot readServingState(const CallContext &Context) {
  return Context.State.read([](const ServingState &Now) {
    return ServingSnapshot{Now.Configuration, Now.NotReady};
  });
}

/// Every response names the configuration revision that its request was parsed
/// with, so that callers can see whether a change is in force.
void addRevisionHeader(http::Exchange &Caller,
                       const ServingSnapshot &Snapshot) {
  Caller.addHeader("X-Figlift-Revision",
                   std::to_string(Snapshot.Configuration->revision()));
}

void refuse(const CallContext &Context, http::Exchange &Caller,
            const Error &Failure) {
  Context.Metrics.recordEnd(Failure.Code);
  Caller.replyProblem(Failure);
}

http::Handler makeHandler(const CallContext &Context,
                          std::chrono::milliseconds DefaultDeadline,
                          RequestParser Parse) {
  return [&Context, DefaultDeadline,
          Parse = std::move(Parse)](std::shared_ptr<http::Exchange> Caller) {
    const std::string GeneratedId = Context.Ids.nextText();
    Caller->setRequestId(callerIdOf(Caller->request(), GeneratedId));
    const ServingSnapshot Now = readServingState(Context);
    addRevisionHeader(*Caller, Now);
    // Checked before parsing: without configuration records every model would
    // be reported as unknown.
    if (Now.NotReady)
      return refuse(Context, *Caller, *Now.NotReady);
    Result<CallerRequest> Request = Parse(
        Caller->request(), {*Now.Configuration, DefaultDeadline, GeneratedId});
    if (!Request)
      return refuse(Context, *Caller, Request.error());
    Call::start(Context, std::move(Caller), std::move(Request.value()));
  };
}

http::Route post(std::string Path, http::Handler Handle) {
  return {"POST", std::move(Path), false, std::move(Handle), false};
}

void listModels(const CallContext &Context, http::Exchange &Caller) {
  const ServingSnapshot Now = readServingState(Context);
  addRevisionHeader(Caller, Now);
  nlohmann::ordered_json Models = nlohmann::ordered_json::array();
  for (const config::SnapshotRecord *Item :
       Now.Configuration->list("backEnd")) {
    const std::string &Name = Item->Stored.Name;
    const record::BackEnd *BackEnd = Now.Configuration->backEnd(Name);
    if (!BackEnd)
      continue;
    for (const record::ModelReference &Model : BackEnd->Models)
      Models.push_back({{"id", Name + "/" + Model.Name + "@" + Model.Version},
                        {"object", "model"},
                        {"owned_by", Name}});
  }
  http::Response Response;
  Response.Body =
      nlohmann::ordered_json{{"object", "list"}, {"data", Models}}.dump();
  Caller.reply(std::move(Response));
}

} // namespace

std::vector<http::Route>
callerRoutes(const CallContext &Context,
             std::chrono::milliseconds DefaultDeadline) {
  auto Completion = [&](CompletionApi Api) {
    return makeHandler(
        Context, DefaultDeadline,
        [Api](const http::Request &Request, const ReadContext &Inputs) {
          return readCompletion(Request, Api, Inputs);
        });
  };
  std::vector<http::Route> Routes;
  Routes.push_back(post("/v1/completions", Completion(CompletionApi::Text)));
  Routes.push_back(
      post("/v1/chat/completions", Completion(CompletionApi::Chat)));
  Routes.push_back({"GET", "/v1/models", false,
                    [&Context](std::shared_ptr<http::Exchange> Caller) {
                      listModels(Context, *Caller);
                    },
                    false});
  Routes.push_back({http::AnyMethod, std::string(ServicesPath), true,
                    makeHandler(Context, DefaultDeadline, readServiceCall),
                    false});
  return Routes;
}

} // namespace figlift::entry
