//===- EngineMessages.cpp - JSON of the engine's HTTP interface -----------===//
//
// Unknown members are ignored for compatibility with newer engines.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/EngineMessages.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace figlift::target {

using Json = nlohmann::json;

std::string writeCompletion(const CompletionCall &Call) {
  Json Body{{"request_id", Call.RequestId},  {"model", Call.Model},
            {"prompt", Call.Prompt},         {"max_tokens", Call.MaximumTokens},
            {"priority", Call.Priority},     {"stream", true},
            {"first_token", Call.FirstToken}};
  if (Call.PromptTokens != 0)
    Body["prompt_tokens"] = Call.PromptTokens;
  if (!Call.DeliveredText.empty())
    Body["delivered_text"] = Call.DeliveredText;
  if (!Call.KvHandle.empty())
    Body["kv_handle"] = Call.KvHandle;
  if (Call.PrefillOnly)
    Body["prefill_only"] = true;
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static void writeModel(Json &Body, const std::string &Model,
                       const std::string &Version, const std::string &Adapter) {
  Body["model"] = Model;
  Body["version"] = Version;
  if (!Adapter.empty())
    Body["adapter"] = Adapter;
}

namespace {
struct OrderWriter {
  Json &Body;
  void operator()(const SetRole &Order) const {
    Body["kind"] = "set_role";
    Body["role"] = Order.Role;
  }
  void operator()(const LoadModel &Order) const {
    Body["kind"] = "load_model";
    writeModel(Body, Order.Model, Order.Version, Order.Adapter);
  }
  void operator()(const UnloadModel &Order) const {
    Body["kind"] = "unload_model";
    writeModel(Body, Order.Model, Order.Version, Order.Adapter);
  }
};
} // namespace

std::string writeOrder(const OrderCall &Call) {
  Json Body{{"order_id", Call.OrderId}, {"epoch", Call.Epoch}};
  std::visit(OrderWriter{Body}, Call.Kind);
  return Body.dump();
}

/// Parses the text and passes it to \p Convert. Returns TargetFailed if the
/// JSON is malformed or lacks a member.
template <typename T, typename Converter>
static Result<T> readJson(std::string_view Text, Converter Convert) {
  const auto Parsed = parseMessage(Text);
  if (!Parsed)
    return failure(ResultCode::TargetFailed,
                   "the engine's answer is malformed: " +
                       Parsed.error().Message);
  try {
    return Convert(Parsed.value());
  } catch (const std::exception &Exception) {
    return failure(ResultCode::TargetFailed,
                   std::string("the engine's answer is malformed: ") +
                       Exception.what());
  }
}

static StreamItem toStreamItem(const Json &Event) {
  if (Event.contains("index"))
    return Token{Event.at("index").get<uint32_t>(),
                 Event.at("text").get<std::string>()};
  CompletionEnd End;
  End.FinishReason = Event.at("finish_reason").get<std::string>();
  End.TotalTokens = Event.value("total_tokens", 0u);
  End.CachedPromptTokens = Event.value("cached_prompt_tokens", 0u);
  End.KvHandle = Event.value("kv_handle", "");
  return End;
}

Result<StreamItem> readStreamItem(std::string_view Data) {
  if (Data == "[DONE]")
    return StreamItem(StreamDone{});
  return readJson<StreamItem>(Data, toStreamItem);
}

static OrderState toOrderState(const std::string &Text) {
  if (Text == "running")
    return OrderState::Running;
  if (Text == "done")
    return OrderState::Done;
  return Text == "failed" ? OrderState::Failed : OrderState::None;
}

static std::string textMember(const Json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || Found->is_null())
    return {};
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

static EngineState toEngineState(const Json &Object) {
  EngineState State;
  State.Role = Object.at("role").get<std::string>();
  for (const Json &Model : Object.value("models", Json::array()))
    State.Models.push_back(
        {Model.at("name").get<std::string>(), textMember(Model, "version"),
         Model.value("adapters", std::vector<std::string>{})});
  State.OrderId = textMember(Object, "order_id");
  State.Order = toOrderState(textMember(Object, "order_state"));
  State.HighestEpoch = Object.value("highest_epoch", uint64_t{0});
  State.Running = Object.value("running", 0u);
  State.Waiting = Object.value("waiting", 0u);
  State.Boot = textMember(Object, "boot");
  return State;
}

Result<EngineState> readState(std::string_view Body) {
  return readJson<EngineState>(Body, toEngineState);
}

Result<EngineLoad> readLoad(std::string_view Body) {
  return readJson<EngineLoad>(Body, [](const Json &Object) {
    EngineLoad Load;
    Load.QueuedPrefillTokens =
        Object.value("queued_prefill_tokens", uint64_t{0});
    Load.Running = Object.value("running", 0u);
    Load.KvFreeTokens = Object.value("kv_free_tokens", uint64_t{0});
    Load.Age = std::chrono::milliseconds(Object.value("age_ms", int64_t{0}));
    return Load;
  });
}

/// Hashes are encoded as numbers or, above 53 bits, as decimal text.
static uint64_t toHash(const Json &Object) {
  return Object.is_string() ? std::stoull(Object.get<std::string>())
                            : Object.get<uint64_t>();
}

Result<std::vector<CacheEvent>> readCacheEvents(std::string_view Body) {
  return readJson<std::vector<CacheEvent>>(Body, [](const Json &Object) {
    std::vector<CacheEvent> Events;
    for (const Json &Event : Object.at("events")) {
      const bool Stored = Event.contains("stored");
      Events.push_back({Event.at("sequence").get<uint64_t>(), Stored,
                        toHash(Event.at(Stored ? "stored" : "evicted"))});
    }
    return Events;
  });
}

Error readOrderRefusal(unsigned Status, std::string_view Body) {
  const auto Parsed = parseMessage(Body);
  const std::string Text(Body.substr(0, 200));
  if (Status != 409)
    return {ResultCode::OrderRejectedByTarget, Text, {}, std::nullopt};
  if (Parsed && Parsed.value().is_object() && Parsed.value().contains("busy"))
    return {ResultCode::OrderConflict, Text, {}, std::nullopt};
  return {ResultCode::StaleEpoch, Text, {}, std::nullopt};
}

} // namespace figlift::target
