//===- OperatorService.cpp - The operator API -----------------------------===//
//
// Routing, reading of requests, and the thread that carries out writes.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorService.h"

#include "LibConfig/ChangeRunner.h"
#include "LibConfig/OperatorJson.h"
#include "LibHttp/JsonBody.h"
#include "LibHttp/Problem.h"
#include "LibRecord/RecordText.h"

#include <algorithm>
#include <charconv>

namespace figlift::config {

using Json = nlohmann::json;

static http::Response problem(ResultCode Code, std::string Message,
                              std::string Field = {}) {
  return http::problemResponse(
      {Code, std::move(Message), std::move(Field), std::nullopt}, "");
}

static http::Response noSuchPath() {
  auto Answer =
      problem(ResultCode::InvalidInput, "there is no such path or method");
  Answer.Status = 404;
  return Answer;
}

static std::vector<std::string> segmentsOf(std::string_view Path) {
  std::vector<std::string> Segments;
  Path.remove_prefix(std::min(OperatorPathPrefix.size(), Path.size()));
  while (!Path.empty()) {
    auto Slash = Path.find('/');
    Segments.emplace_back(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      break;
    Path.remove_prefix(Slash + 1);
  }
  return Segments;
}

OperatorService::OperatorService(OperatorContext Context,
                                 OperatorOptions Options)
    : m_Context(std::move(Context)), m_Options(Options) {
  m_Thread = std::thread([this] { run(); });
}

OperatorService::~OperatorService() {
  std::deque<Job> Refused;
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    Refused.swap(m_Queue);
  }
  m_Changed.notify_all();
  m_Thread.join();
  for (Job &Each : Refused)
    Each.Done(problem(ResultCode::Draining, "this entry is stopping"));
}

void OperatorService::handle(const http::Request &Request, Reply Done) {
  const Segments Path = segmentsOf(Request.Path);
  const std::string Part = Path.empty() ? "" : Path[0];
  const bool Get = Request.Method == "GET";
  const bool Post = Request.Method == "POST";
  if (Get && Part == "records" && Path.size() <= 3)
    return Done(getRecords(Path, Request));
  if (Get && Part == "status" && Path.size() == 1)
    return Done(getStatus());
  if (Get && Part == "explain" && Path.size() == 2)
    return Done(getExplanation(Path[1]));
  if (Post && Part == "records" && Path.size() == 1)
    return enqueue(submission(Request), std::move(Done));
  if (Request.Method == "DELETE" && Part == "records" && Path.size() == 3)
    return enqueue(withdrawal(Path, Request), std::move(Done));
  if (Post && Part == "targets" && Path.size() == 3)
    return enqueue(wish(Path, Request), std::move(Done),
                   TargetWish{Path[1], Path[2] == "undrain"});
  Done(noSuchPath());
}

http::Response OperatorService::getRecords(const Segments &Path,
                                           const http::Request &Request) const {
  SnapshotPointer Current = m_Context.Current();
  if (!Current)
    return problem(ResultCode::NotReady, "this entry has no configuration yet");
  if (Path.size() == 3) {
    const Item *Found = Current->find(Path[1], Path[2]);
    if (!Found || Found->Stored.Withdrawn)
      return problem(ResultCode::RecordNotFound,
                     "there is no " + Path[1] + " " + Path[2]);
    return jsonResponse(jsonOf(*Found));
  }
  OrderedJson Body = {{"revision", Current->revision()},
                      {"records", OrderedJson::array()}};
  bool WithWithdrawn = Request.query("withdrawn") == "1";
  for (const Item *Each : Current->list(Path.size() == 2 ? Path[1] : ""))
    if (WithWithdrawn || !Each->Stored.Withdrawn)
      Body["records"].push_back(jsonOf(*Each));
  return jsonResponse(Body);
}

http::Response OperatorService::getStatus() const {
  SnapshotPointer Current = m_Context.Current();
  std::string Why = m_Context.WhyNotServing();
  OrderedJson Body = {{"entry", m_Context.Status.entryId()},
                      {"revision", Current ? Current->revision() : 0},
                      {"serving", Why.empty()}};
  if (!Why.empty())
    Body["reason"] = Why;
  Body["targets"] = OrderedJson::array();
  for (const TargetStatus &Each : m_Context.Status.targets())
    Body["targets"].push_back(jsonOf(Each));
  Body["entries"] = OrderedJson::array();
  for (const EntryStatus &Each : m_Context.Status.entries())
    Body["entries"].push_back(jsonOf(Each));
  return jsonResponse(Body);
}

http::Response OperatorService::getExplanation(const std::string &Id) const {
  OrderedJson Body = {{"id", Id}, {"entry", m_Context.Status.entryId()}};
  for (const TargetStatus &Each : m_Context.Status.targets())
    if (Each.Id == Id)
      Body["target"] = jsonOf(Each);
  if (SnapshotPointer Current = m_Context.Current())
    if (const Item *Wish = Current->find("target", Id))
      Body["record"] = jsonOf(*Wish);
  Body["events"] = m_Context.Status.explain(Id);
  return jsonResponse(Body);
}

/// Every write has an operation id, else a lost answer could not be settled by
/// sending it again.
Result<std::string> OperatorService::operationIdOf(const std::string &Given) {
  if (Given.empty())
    return m_Ids.nextText();
  auto Id = Uuid::parse(Given);
  if (!Id || !Id.value().isVersion7())
    return failure(ResultCode::InvalidInput,
                   "found \"" + Given + "\"; allowed: a UUID of version 7",
                   "operationId");
  return Id.value().toString();
}

Result<void> OperatorService::addTexts(const std::string &File,
                                       ChangeRequest &Into) const {
  FIGLIFT_TRY(Texts, record::splitRecords(File));
  FIGLIFT_TRY(Records, record::parseRecords(File));
  for (size_t Index = 0; Index < Records.size(); ++Index) {
    Change Next{Records[Index].Kind, Records[Index].Name,
                std::move(Texts[Index].Text), false};
    for (const Change &Other : Into.Changes)
      if (Other.Kind == Next.Kind && Other.Name == Next.Name)
        return failure(ResultCode::RecordInvalid,
                       "found " + Next.Kind + " " + Next.Name +
                           " twice; allowed: once in an operation",
                       "name");
    Into.Changes.push_back(std::move(Next));
  }
  return success();
}

static Result<std::optional<uint64_t>> versionOf(const std::string &Text) {
  if (Text.empty())
    return std::optional<uint64_t>();
  uint64_t Version = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return failure(ResultCode::InvalidInput,
                   "found \"" + Text + "\"; allowed: a whole number from 0",
                   "ifVersion");
  return std::optional<uint64_t>(Version);
}

Result<ChangeRequest>
OperatorService::submission(const http::Request &Request) {
  FIGLIFT_TRY(Body, http::parseJsonBody(Request.Body));
  auto Invalid = [](const char *Allowed, const char *Field) {
    return failure(ResultCode::InvalidInput, std::string("allowed: ") + Allowed,
                   Field);
  };
  if (!Body.is_object())
    return Invalid("an object with operationId and records", "");
  Json Id = Body.value("operationId", Json(""));
  Json Version = Body.value("ifVersion", Json());
  Json Records = Body.value("records", Json());
  if (!Id.is_string())
    return Invalid("a UUID of version 7", "operationId");
  if (!Version.is_null() && !Version.is_number_unsigned())
    return Invalid("a whole number from 0", "ifVersion");
  if (!Records.is_array())
    return Invalid("an array of texts", "records");

  ChangeRequest Wanted;
  FIGLIFT_TRY(OperationId, operationIdOf(Id.get<std::string>()));
  Wanted.OperationId = OperationId;
  if (!Version.is_null())
    Wanted.IfVersion = Version.get<uint64_t>();
  for (const Json &Text : Records) {
    if (!Text.is_string())
      return Invalid("an array of texts", "records");
    FIGLIFT_TRY(addTexts(Text.get<std::string>(), Wanted));
  }
  if (Wanted.Changes.empty() ||
      Wanted.Changes.size() > m_Options.MaximumRecordsPerOperation)
    return Invalid("1 to 64 records in an operation", "records");
  if (Wanted.IfVersion && Wanted.Changes.size() != 1)
    return Invalid("ifVersion with a single record", "ifVersion");
  return Wanted;
}

Result<ChangeRequest>
OperatorService::withdrawal(const Segments &Path,
                            const http::Request &Request) {
  ChangeRequest Wanted;
  FIGLIFT_TRY(OperationId, operationIdOf(Request.query("operationId")));
  Wanted.OperationId = OperationId;
  FIGLIFT_TRY(Version, versionOf(Request.query("ifVersion")));
  Wanted.IfVersion = Version;
  Wanted.Changes.push_back({Path[1], Path[2], "", true});
  return Wanted;
}

Result<void> OperatorService::checkKnown(const std::string &Target) const {
  auto Targets = m_Context.Status.targets();
  auto Same = [&Target](const TargetStatus &Each) { return Each.Id == Target; };
  if (Targets.empty() || std::any_of(Targets.begin(), Targets.end(), Same))
    return success();
  return failure(ResultCode::RecordNotFound,
                 "no target " + Target + " is known", "target");
}

Result<ChangeRequest> OperatorService::wish(const Segments &Path,
                                            const http::Request &Request) {
  const std::string &Target = Path[1];
  const std::string &Verb = Path[2];
  if (Verb != "drain" && Verb != "undrain" && Verb != "retire")
    return failure(ResultCode::InvalidInput,
                   "found \"" + Verb + "\"; allowed: drain, undrain, retire");
  // A target that is gone from the list may still be retired.
  if (Verb == "drain") {
    FIGLIFT_TRY(checkKnown(Target));
  }
  ChangeRequest Wanted;
  FIGLIFT_TRY(OperationId, operationIdOf(Request.query("operationId")));
  Wanted.OperationId = OperationId;
  OrderedJson Record = {
      {"schemaVersion", 1},
      {"kind", "target"},
      {"name", Target},
      {"spec", {{"intent", Verb == "undrain" ? "serve" : Verb}}}};
  FIGLIFT_TRY(addTexts(
      Record.dump(-1, ' ', false, Json::error_handler_t::replace), Wanted));
  return Wanted;
}

void OperatorService::enqueue(Result<ChangeRequest> Request, Reply Done,
                              std::optional<TargetWish> Wish) {
  if (!Request)
    return Done(http::problemResponse(Request.error(), ""));
  std::unique_lock Lock(m_Mutex);
  const bool Full = m_Queue.size() >= m_Options.MaximumQueuedWrites;
  if (m_Stopped || Full) {
    const ResultCode Refusal =
        m_Stopped ? ResultCode::Draining : ResultCode::Overloaded;
    Lock.unlock();
    return Done(http::problemResponse({Refusal, "the change was not taken", "",
                                       std::chrono::milliseconds(500)},
                                      ""));
  }
  m_Queue.push_back(
      {std::move(Request).value(), std::move(Done), std::move(Wish)});
  Lock.unlock();
  m_Changed.notify_one();
}

void OperatorService::run() {
  while (true) {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait(Lock, [this] { return m_Stopped || !m_Queue.empty(); });
    if (m_Stopped)
      return;
    Job Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    Lock.unlock();
    perform(std::move(Next));
  }
}

/// An operator who must empty a machine can't wait for the end of an outage of
/// the table. The agent does as asked until it restarts or a newer record of
/// its target comes; the operator is told that no record says so yet.
Error OperatorService::carriedOutAnyway(Error Why,
                                        const TargetWish &Wish) const {
  const bool OfTable = Why.Code == ResultCode::StoreUnavailable ||
                       Why.Code == ResultCode::StoreOutcomeUnknown;
  if (!OfTable || !m_Context.AskAgentToDrain(Wish.Target, Wish.Serves))
    return Why;
  Why.Message += std::string("; the agent of ") + Wish.Target +
                 " was asked to " + (Wish.Serves ? "serve" : "drain") +
                 " all the same, but the wish is not recorded: repeat it when "
                 "the table is back";
  return Why;
}

void OperatorService::perform(Job Next) {
  auto Pause = [this](std::chrono::milliseconds Time) {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait_for(Lock, Time, [this] { return m_Stopped; });
  };
  auto Outcome = applyChange(m_Context.Table, std::move(Next.Request),
                             m_Options.Writer, Pause);
  if (!Outcome) {
    Error Why = Outcome.error();
    if (Next.Wish)
      Why = carriedOutAnyway(std::move(Why), *Next.Wish);
    return Next.Done(http::problemResponse(Why, ""));
  }
  m_Context.OnCommitted(Outcome.value());
  Next.Done(jsonResponse(jsonOf(Outcome.value())));
}

} // namespace figlift::config
