//===- Record.cpp - Reading operators' records ----------------------------===//
//
// One function for each part of a record. A record is taken whole or refused
// whole: the first fault ends the reading.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/Record.h"

#include "LibRecord/FieldReader.h"
#include "LibRecord/RecordText.h"

#include <algorithm>
#include <cctype>

namespace figlift::record {

using Json = nlohmann::json;
using namespace std::chrono_literals;

static constexpr size_t MaximumNameLength = 63;
static constexpr unsigned MaximumTargets = 1024;
static constexpr double MaximumWeight = 1e6;

static constexpr Names<ServiceClass, 3> ClassNames = {
    {{"immediate", ServiceClass::Immediate},
     {"interactive", ServiceClass::Interactive},
     {"background", ServiceClass::Background}}};

static constexpr Names<BackEndType, 2> TypeNames = {
    {{"model", BackEndType::Model}, {"service", BackEndType::Service}}};

static constexpr Names<TargetIntent, 3> IntentNames = {
    {{"serve", TargetIntent::Serve},
     {"drain", TargetIntent::Drain},
     {"retire", TargetIntent::Retire}}};

static constexpr char AllowedName[] =
    "1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or "
    "digit";

/// Names become parts of table keys and URL paths.
static bool isName(const std::string &Text) {
  auto Allowed = [](unsigned char Byte) {
    return std::isalnum(Byte) || Byte == '-' || Byte == '_' || Byte == '.';
  };
  return !Text.empty() && Text.size() <= MaximumNameLength &&
         std::isalnum(static_cast<unsigned char>(Text.front())) &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

static void readName(FieldReader &Reader, const std::string &Field,
                     std::string &Into) {
  Reader.require(Field, AllowedName);
  Reader.read(Field, Into, MaximumNameLength);
  if (!Reader.error() && !isName(Into))
    Reader.refuse(Field, AllowedName);
}

static void readModel(FieldReader &Reader, std::vector<ModelReference> &Into) {
  ModelReference Model;
  readName(Reader, "name", Model.Name);
  readName(Reader, "version", Model.Version);
  Reader.needsVersion2("adapters");
  Reader.read("adapters", Model.Adapters, isName, AllowedName);
  Reader.finish();
  auto Same = [&Model](const ModelReference &Other) {
    return Other.Name == Model.Name && Other.Version == Model.Version;
  };
  if (std::any_of(Into.begin(), Into.end(), Same))
    Reader.refuse("name", "each model and version once");
  Into.push_back(std::move(Model));
}

/// Every request needs a prefill and then a decode. A split without a role
/// that can do one of them would be accepted and then answer nothing at all.
static void checkRoles(FieldReader &Reader, const RoleSplit &Roles) {
  if (Roles.Prefill + Roles.Mixed == 0)
    Reader.fail(Reader.pathOf("prefill"),
                "found no target that can do prefill; allowed: at least one "
                "target in \"prefill\" or \"mixed\"");
  if (Roles.Decode + Roles.Mixed == 0)
    Reader.fail(Reader.pathOf("decode"),
                "found no target that can do decode; allowed: at least one "
                "target in \"decode\" or \"mixed\"");
  if (Roles.Prefill + Roles.Decode + Roles.Mixed > MaximumTargets)
    Reader.fail(Reader.pathOf("mixed"),
                "found more targets in all roles than " +
                    std::to_string(MaximumTargets) + "; allowed: that many");
}

static void readRoles(FieldReader &Reader, RoleSplit &Into) {
  Reader.readInteger("prefill", Into.Prefill, 0, MaximumTargets);
  Reader.readInteger("decode", Into.Decode, 0, MaximumTargets);
  Reader.readInteger("mixed", Into.Mixed, 0, MaximumTargets);
  Reader.finish();
  checkRoles(Reader, Into);
}

static void readWeights(FieldReader &Reader, PlannerWeights &Into) {
  Reader.read("goodput", Into.Goodput, 0, MaximumWeight);
  Reader.read("roleChangeCost", Into.RoleChangeCost, 0, MaximumWeight);
  Reader.read("horizon", Into.Horizon, 1s, 1h);
  Reader.readInteger("maximumConcurrentChanges", Into.MaximumConcurrentChanges,
                     1, MaximumTargets);
  Reader.finish();
}

static void readClassLimits(FieldReader &Reader, ClassLimits &Into) {
  Reader.readInteger("maximumQueuedTokens", Into.MaximumQueuedTokens, 1,
                     uint64_t(1) << 32);
  Reader.read("defaultDeadline", Into.DefaultDeadline, 10ms, 24h);
  Reader.finish();
}

static void readClasses(FieldReader &Reader,
                        std::map<ServiceClass, ClassLimits> &Into) {
  for (const auto &[Name, Class] : ClassNames)
    Reader.readObject(std::string(Name), [&, Class = Class](FieldReader &Each) {
      readClassLimits(Each, Into[Class]);
    });
  Reader.finish();
}

static void readPaths(FieldReader &Reader, const std::string &Field,
                      std::vector<std::string> &Into) {
  auto Accept = [](const std::string &Path) {
    return !Path.empty() && Path.front() == '/' && Path.size() <= 1024;
  };
  Reader.read(Field, Into, Accept, "a path that begins with '/'");
}

/// Fields that only the other type of back end has.
static void refuseFields(FieldReader &Reader, BackEndType Type) {
  auto Refuse = [&Reader](const char *Field, const char *Other) {
    if (Reader.has(Field))
      Reader.refuse(Field, std::string("only with \"type\": \"") + Other + '"');
  };
  if (Type == BackEndType::Service)
    for (const char *Field : {"models", "roles", "weights"})
      Refuse(Field, "model");
  else
    for (const char *Field : {"nonRepeatablePaths", "immediatePaths"})
      Refuse(Field, "service");
}

static Specification readBackEnd(FieldReader &Reader) {
  BackEnd Spec;
  Reader.require("type", "\"model\", \"service\"");
  Reader.read("type", Spec.Type, TypeNames);
  Reader.needsVersion2("weights");
  Reader.needsVersion2("classes");
  refuseFields(Reader, Spec.Type);
  if (Spec.Type == BackEndType::Model) {
    Reader.require("models", "an array of at least one model");
    Reader.require("roles", "an object with \"prefill\", \"decode\", "
                            "\"mixed\"");
  }
  Reader.readObjects(
      "models", [&Spec](FieldReader &Each) { readModel(Each, Spec.Models); });
  if (Spec.Type == BackEndType::Model && Spec.Models.empty())
    Reader.refuse("models", "an array of at least one model");
  Reader.readObject(
      "roles", [&Spec](FieldReader &Inside) { readRoles(Inside, Spec.Roles); });
  Reader.readObject("weights", [&Spec](FieldReader &Inside) {
    readWeights(Inside, Spec.Weights);
  });
  Reader.readObject("classes", [&Spec](FieldReader &Inside) {
    readClasses(Inside, Spec.Classes);
  });
  Reader.read("honoursFencing", Spec.HonoursFencing);
  readPaths(Reader, "nonRepeatablePaths", Spec.NonRepeatablePaths);
  readPaths(Reader, "immediatePaths", Spec.ImmediatePaths);
  return Spec;
}

static Specification readWorkspace(FieldReader &Reader) {
  Workspace Spec;
  Reader.read("share", Spec.Share, 0.001, MaximumWeight);
  unsigned Requests = 0;
  Reader.readInteger("maximumConcurrentRequests", Requests, 1, 1'000'000);
  if (Reader.has("maximumConcurrentRequests"))
    Spec.MaximumConcurrentRequests = Requests;
  ServiceClass Class = ServiceClass::Interactive;
  Reader.needsVersion2("defaultClass");
  Reader.read("defaultClass", Class, ClassNames);
  if (Reader.has("defaultClass"))
    Spec.DefaultClass = Class;
  return Spec;
}

static Specification readTarget(FieldReader &Reader) {
  TargetWish Spec;
  Reader.require("intent", "\"serve\", \"drain\", \"retire\"");
  Reader.read("intent", Spec.Intent, IntentNames);
  return Spec;
}

using SpecificationReader = Specification (*)(FieldReader &);

static constexpr Names<SpecificationReader, 3> Kinds = {
    {{"backEnd", readBackEnd},
     {"workspace", readWorkspace},
     {"target", readTarget}}};

static unsigned schemaVersionOf(FieldReader &Reader) {
  unsigned Version = 0;
  Reader.require("schemaVersion", "1 or 2");
  Reader.readInteger("schemaVersion", Version, OldestSchemaVersion,
                     NewestSchemaVersion);
  return Version;
}

/// Reads a record from JSON of good syntax.
static Result<Record> recordFrom(const Json &Value) {
  FieldReader Reader(Value, "", NewestSchemaVersion);
  Record Read;
  Read.SchemaVersion = schemaVersionOf(Reader);
  readName(Reader, "name", Read.Name);
  SpecificationReader ReadSpecification = nullptr;
  Reader.require("kind", "\"backEnd\", \"workspace\", \"target\"");
  Reader.read("kind", ReadSpecification, Kinds);
  Reader.require("spec", "an object");
  if (!Reader.error())
    Read.Kind = Value.at("kind").get<std::string>();
  Reader.readObject("spec", [&](FieldReader &) {});
  Reader.finish();
  if (Reader.error())
    return outcome::failure(*Reader.error());

  FieldReader Inside(Value.at("spec"), "spec", Read.SchemaVersion);
  Read.Spec = ReadSpecification(Inside);
  Inside.finish();
  if (Inside.error())
    return outcome::failure(*Inside.error());
  return Read;
}

static Result<Record> parseOne(const RecordText &Source) {
  Json Value = Json::parse(Source.Text, nullptr, false, true);
  if (Value.is_discarded())
    return failure(ResultCode::RecordInvalid,
                   "line " + std::to_string(Source.FirstLine) +
                       ": found a syntax error; allowed: JSON with comments");
  return recordFrom(Value);
}

Result<Record> parseRecord(std::string_view Json) {
  FIGLIFT_TRY(Texts, splitRecords(Json));
  if (Texts.size() != 1)
    return failure(ResultCode::RecordInvalid, "found " +
                                                  std::to_string(Texts.size()) +
                                                  " records; allowed: one");
  return parseOne(Texts.front());
}

Result<std::vector<Record>> parseRecords(std::string_view Json) {
  FIGLIFT_TRY(Texts, splitRecords(Json));
  std::vector<Record> Records;
  for (const RecordText &Source : Texts) {
    auto Read = parseOne(Source);
    if (!Read) {
      Error Why = std::move(Read).error();
      Why.Message = "record that begins on line " +
                    std::to_string(Source.FirstLine) + ": " + Why.Message;
      return outcome::failure(std::move(Why));
    }
    Records.push_back(std::move(Read).value());
  }
  return Records;
}

} // namespace figlift::record
