/**
 * Messages between the processes of waxwingquay. Regenerate with scripts/generate-thrift; the
 * generated Java is committed, so the build never needs the compiler.
 */
namespace java io.waxwingquay.transport.generated

/** Whether work reached its target. UNKNOWN is never reported to a caller as DID_NOT_RUN. */
enum Execution {
  DID_NOT_RUN = 1,
  RAN = 2,
  UNKNOWN = 3
}

/** Why a side process refused a submission. Every refusal is final for that attempt. */
enum RefusalReason {
  LEAVING = 1,
  OVERLOADED = 2,
  DEADLINE = 3,
  NOT_RESIDENT = 4,
  QUARANTINED = 5,
  SUSPECT_BUSY = 6,
  WRONG_EPOCH = 7,
  WITHDRAWN = 8,
  EXPIRED_ATTEMPT = 9,
  NOT_READY = 10,
  TARGET_DOWN = 11,
  MALFORMED = 12,
  LIMIT = 13
}

/** State of one attempt inside a side process. */
enum AttemptState {
  QUEUED = 1,
  RUNNING = 2,
  DONE = 3,
  FAILED = 4,
  CANCELLED = 5,
  ABSENT = 6
}

/** What kind of target stands behind a side process. */
enum TargetKind {
  MODEL_ENGINE = 1,
  PLAIN_SERVICE = 2
}

/** Lifecycle of a side process as its peers see it. */
enum SideState {
  STARTING = 1,
  SERVING = 2,
  LEAVING = 3,
  GONE = 4
}

/** Load of one target, as its side process knows it. */
struct LoadReport {
  1: i32 running,
  2: i32 queued,
  3: i64 queuedTokens,
  4: double tokensPerSecond,
  5: i64 freeBytes,
  6: i64 ageMillis
}

/** A completion by a model engine. */
struct ModelCall {
  1: string model,
  2: optional string adapter,
  3: string prompt,
  4: i32 maxTokens,
  5: i32 priority,
  6: i64 prefixHash
}

/** A call to a plain service. sideEpoch is the boot epoch that a claim names; it is checked when nonIdempotent. */
struct ServiceCall {
  1: string operation,
  2: binary body,
  3: string contentType,
  4: bool nonIdempotent,
  5: optional string idempotencyKey
}

/** One attempt at one request. issuedAtEpochMillis is the wall clock of the entry that made the attempt. */
struct Submission {
  1: string requestId,
  2: string attemptId,
  3: string serviceName,
  4: i64 budgetMillis,
  5: i64 issuedAtEpochMillis,
  6: i64 sideEpoch,
  7: i64 fingerprint,
  8: optional ModelCall model,
  9: optional ServiceCall plain
}

struct Refusal {
  1: RefusalReason reason,
  2: string message,
  3: i64 retryAfterMillis,
  4: Execution execution
}

struct SubmitAnswer {
  1: bool accepted,
  2: optional Refusal refusal,
  3: LoadReport load,
  4: i64 sideEpoch
}

/** A piece of an answer. offset counts tokens for a model call; a plain answer is one chunk at offset 0. */
struct Chunk {
  1: i64 offset,
  2: binary bytes,
  3: i32 units
}

/** Answers within waitMillis even when nothing is new, so that silence means a dead connection. */
struct PollRequest {
  1: string attemptId,
  2: i64 fromOffset,
  3: i64 waitMillis
}

/** totalUnits is set only when state is DONE: an answer without it is incomplete. */
struct PollAnswer {
  1: AttemptState state,
  2: list<Chunk> chunks,
  3: optional i64 totalUnits,
  4: optional Refusal failure,
  5: LoadReport load,
  6: optional i32 statusCode,
  7: optional string contentType
}

/** What became of an attempt. withdraw forbids a start from now on if it has not started. */
struct ResolveRequest {
  1: string attemptId,
  2: bool withdraw,
  3: i64 sideEpoch
}

struct ResolveAnswer {
  1: Execution execution,
  2: AttemptState state
}

/** One item (model or adapter version) in a side's published residency. demandStep is 0 for none, else 1 + floor(2*log2(units/s)) clamped to 1..60. */
struct ItemRecord {
  1: string item,
  2: bool resident,
  3: i32 demandStep
}

/** What a side process publishes of itself. A higher (epoch, version) replaces a lower one. */
struct SideRecord {
  1: string sideId,
  2: string host,
  3: i32 port,
  4: string dataCentre,
  5: string serviceName,
  6: i32 replica,
  7: TargetKind kind,
  8: i64 epoch,
  9: i64 version,
  10: SideState state,
  11: i64 capacityBytes,
  12: list<ItemRecord> items
}

/**
 * A request fingerprint that ran on targets that crashed. crashIds names each crash once; absolvedIds are those that
 * were known when it was answered well, or that were none.
 */
struct SuspectRecord {
  1: i64 fingerprint,
  2: set<string> crashIds,
  3: i64 expiresAtEpochMillis,
  4: bool cleared,
  5: optional set<string> absolvedIds
}

/** bucketHashes summarise all side records by hash of the side's name; a difference asks for that bucket. */
struct GossipRequest {
  1: string fromId,
  2: string fromHost,
  3: i32 fromPort,
  4: i64 bundleVersion,
  5: list<i64> bucketHashes,
  6: list<SideRecord> sides,
  7: list<SuspectRecord> suspects
}

struct GossipAnswer {
  1: i64 bundleVersion,
  2: list<SideRecord> sides,
  3: list<SuspectRecord> suspects,
  4: list<i32> wantedBuckets
}

/** A signed bundle: the signature is over the exact document, of which the zlib deflated bytes are sent. */
struct BundleRequest {
  1: i64 aboveVersion
}

struct BundleAnswer {
  1: i64 version,
  2: optional binary document,
  3: optional string signature,
  4: optional string keyId
}

struct SuspectNotice {
  1: list<SuspectRecord> suspects
}

/** Asks the home of a shared limit for one of its permits. */
struct PermitRequest {
  1: string limit,
  2: string holderId,
  3: string permitId,
  4: i64 leaseMillis
}

struct PermitAnswer {
  1: bool granted,
  2: i64 retryAfterMillis
}

struct PermitReturn {
  1: string limit,
  2: string permitId
}

/** Spoken between any two processes. */
service PeerService {
  GossipAnswer gossip(1: GossipRequest request),
  BundleAnswer fetchBundle(1: BundleRequest request),
  bool noteSuspects(1: SuspectNotice notice),
  PermitAnswer borrowPermit(1: PermitRequest request),
  bool returnPermit(1: PermitReturn request),
  bool ping()
}

/** Spoken by an entry to a side process. */
service SideService extends PeerService {
  SubmitAnswer submit(1: Submission submission),
  PollAnswer poll(1: PollRequest request),
  bool cancel(1: string attemptId),
  ResolveAnswer resolve(1: ResolveRequest request)
}

/** A model that an engine holds, with the adapters of it that are loaded. */
struct HeldModel {
  1: string name,
  2: list<string> adapters
}

/**
 * Which versions of the platform's tables an entry has. One that the store turns away can read them there. Versions of
 * the replica list are comparable on the same timeline only, which ends when the store is restored from a copy.
 */
struct TableVersions {
  1: i64 configuration,
  2: i64 replicaList,
  3: i64 replicaListTimeline
}

/**
 * A request whose sends ended with broken connections, as told between processes whose wall clocks may differ: how long
 * the record stays is a duration. Each crash has a name of 64 bits; absolved are those that count no more.
 */
struct SuspectNews {
  1: i64 fingerprint,
  2: set<i64> crashes,
  3: set<i64> absolved,
  4: i64 remainingMillis
}

/**
 * A part of prompts under which replicas crashed. Each crash has a name of 64 bits and the weight of the chain of crashes
 * that it ends, each of which was known when the next request with the part was sent; absolved are those that count no
 * more. How long the record stays is a duration.
 */
struct PromptPartNews {
  1: i64 part,
  2: map<i64, i32> weightByCrash,
  3: set<i64> absolved,
  4: i64 remainingMillis,
  5: optional bool wholeRequest
}

/**
 * What the process beside an engine tells every entry and the other processes of its service, several times a second
 * and at once after a change. Sent as a datagram; the next one says all of it again.
 */
struct EngineNews {
  1: string serviceName,
  2: string engineAddress,
  3: i64 bornMillis,
  4: i64 number,
  5: i32 running,
  6: i32 waiting,
  7: i64 kvUsedTokens,
  8: i64 kvTotalTokens,
  9: list<HeldModel> models,
  10: optional string loadingModel,
  11: i64 loadingMillis,
  12: list<string> nearModels,
  13: i32 storeLoads,
  14: bool draining,
  15: i32 entries,
  16: list<string> modelsInUse,
  17: optional TableVersions newestTables,
  18: optional string newestTablesHost,
  19: optional list<SuspectNews> suspects,
  20: optional list<PromptPartNews> promptParts,
  21: optional bool grantsSlots
}

/** What one entry sees of one model. */
struct ModelDemand {
  1: double perSecond,
  2: double atOnce,
  3: double slowPerSecond
}

/** What an entry tells the process beside each engine of a service, several times a second. */
struct EntryNews {
  1: string node,
  2: i64 number,
  3: map<string, ModelDemand> demand,
  4: list<string> adaptersInUse,
  5: list<string> engineAddresses,
  6: i64 engineDigest,
  7: list<string> modelsInUse,
  8: optional TableVersions tables,
  9: optional list<SuspectNews> suspects,
  10: optional list<PromptPartNews> promptParts
}

/** An entry needs an adapter on the engine beside the receiver. */
struct AdapterCall {
  1: i64 id,
  2: string model,
  3: string adapter
}

/** The adapter is there, or can't be had here now. */
struct AdapterReply {
  1: i64 id,
  2: bool present
}

/**
 * What one entry has spent of the quota of one client account since it started, less what it gave back, and what it asks
 * for besides. The acknowledged units are those that any receiver has counted; the quota is that of the entry's
 * configuration.
 */
struct AccountSpending {
  1: string account,
  2: i64 spentUnits,
  3: i64 acknowledgedUnits,
  4: double perSecond,
  5: double burstUnits,
  6: i64 configuration,
  7: i64 askedUnits
}

/** What an entry has spent of some quotas. Sent as a datagram; a later one says all of it again. */
struct SpendingReport {
  1: i64 number,
  2: list<AccountSpending> accounts
}

/**
 * What is left of a quota for all entries, after the spending of the receiver that is named here; that includes what it
 * asked for if that is granted.
 */
struct AccountBalance {
  1: string account,
  2: i64 spentUnits,
  3: double balanceUnits,
  4: double othersPerSecond,
  5: i64 askedUnits,
  6: bool granted
}

/** The answer to a report, whose number it names. */
struct SpendingReply {
  1: i64 number,
  2: list<AccountBalance> accounts
}

/**
 * The software version that started a stream, which never changes. The stream is named by a hash of its service and of the
 * attempt that brought its first event.
 */
struct StreamOrigin {
  1: i64 stream,
  2: string softwareVersion
}

/** Origins that an entry reports to the processes beside engines that keep them. Sent as a datagram. */
struct OriginReport {
  1: list<StreamOrigin> origins
}

/** An entry asks for the origin of a stream that another entry may have started. */
struct OriginQuestion {
  1: i64 stream
}

/** The answer, which names the version if the process keeps it. */
struct OriginReply {
  1: i64 stream,
  2: optional string softwareVersion
}

/**
 * An entry asks the process beside an engine for a slot for one request, and repeats it while the request waits. Times are
 * durations, as clocks differ.
 */
struct SlotRequest {
  1: i64 id,
  2: string attemptId,
  3: string model,
  4: optional string adapter,
  5: i32 promptTokens,
  6: i32 outputTokens,
  7: i32 accountPriority,
  8: i32 routePriority,
  9: i32 objectiveMillis,
  10: i32 pauseObjectiveMillis,
  11: optional string account,
  12: double accountWeight,
  13: i32 ageMillis,
  14: i32 maxWaitMillis
}

/** What the process beside an engine decided about a requested slot. */
enum SlotDecision {
  GRANTED = 1,
  QUEUED = 2,
  DENIED = 3
}

/** The answer to a request for a slot; the load is the number of requests in the engine and of granted slots. */
struct SlotReply {
  1: i64 id,
  2: SlotDecision decision,
  3: i32 waitMillis,
  4: i32 load,
  5: optional string reason
}

/** An entry no longer needs a slot that it has requested or was granted. */
struct SlotCancel {
  1: i64 id
}

/** One datagram between our processes on the prepared platform. */
union PeerDatagram {
  1: EngineNews engine,
  2: EntryNews entry,
  3: AdapterCall adapterCall,
  4: AdapterReply adapterReply,
  5: SpendingReport spending,
  6: SpendingReply spendingReply,
  7: OriginReport originReport,
  8: OriginQuestion originQuestion,
  9: OriginReply originReply,
  10: SlotRequest slotRequest,
  11: SlotReply slotReply,
  12: SlotCancel slotCancel
}
