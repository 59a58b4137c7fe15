//! The table of numbered result codes.

use serde::{Deserialize, Serialize};

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No engine ran the request and nothing was changed.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
    /// The request ran and failed.
    RanAndFailed,
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $kind:ident, $status:literal, $title:literal, $meaning:literal, $action:literal;)*) => {
        /// A numbered result code. 1xxx: requests and samples. 2xxx: configuration files
        /// and applies. 3xxx: programs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl ResultCode {
            /// All codes, ascending by number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Returns the code with this number, or None if there is none.
            pub fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(ResultCode::$name),)* _ => None }
            }

            pub fn kind(self) -> Kind {
                match self { $(ResultCode::$name => Kind::$kind,)* }
            }

            pub fn status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// The short name shown to users.
            pub fn title(self) -> &'static str {
                match self { $(ResultCode::$name => $title,)* }
            }

            pub fn meaning(self) -> &'static str {
                match self { $(ResultCode::$name => $meaning,)* }
            }

            pub fn action(self) -> &'static str {
                match self { $(ResultCode::$name => $action,)* }
            }
        }
    };
}

result_codes! {
    UnknownService = 1001, NotRun, 404, "unknown service", "No service of this name is in the configuration in force.", "Check the name with `sloetrail get`.";
    UnknownRun = 1002, NotRun, 404, "unknown run", "No training run of this name is in the configuration in force.", "Check the name with `sloetrail get`.";
    MalformedRequest = 1003, NotRun, 400, "malformed request", "The request's body or parameters could not be understood.", "Correct the request.";
    BodyTooLarge = 1004, NotRun, 413, "body too large", "The request's body is over the configured bound.", "Send less, or raise `body_limit_bytes`.";
    RequestTooSlow = 1005, NotRun, 408, "request too slow", "The caller did not send the whole request in time.", "Send again over a faster connection.";
    InvalidKey = 1006, NotRun, 400, "invalid key", "The Idempotency-Key header is empty, over 200 bytes or not ASCII.", "Correct the key.";
    UnknownPath = 1007, NotRun, 404, "unknown path", "The node has no such path.", "See docs/API.md.";
    UnknownRoute = 1008, NotRun, 404, "unknown route", "No route of the configuration in force has this host and path.", "Check the host and the path.";
    UnknownBatch = 1009, NotRun, 404, "unknown batch", "No batch of this id was accepted, or it was forgotten after its time.", "Check the id.";
    UnknownApiKey = 1010, NotRun, 401, "unknown api key", "The request carries no key, or one that belongs to no tenant of the configuration in force.", "Send a key of your tenant.";
    KeyReused = 1011, NotRun, 422, "key reused", "The idempotency key was sent with another request before.", "Send each request under a key of its own.";
    NoEngine = 1101, NotRun, 503, "no engine", "No engine of the service may take work now.", "Ask again after the time given.";
    QueueFull = 1102, NotRun, 503, "queue full", "The service's queue on this node is full.", "Ask again after the time given.";
    QueueDeadline = 1103, NotRun, 503, "queue deadline", "The request would not reach an engine before its deadline.", "Ask again after the time given.";
    NodeNotReady = 1104, NotRun, 503, "node not ready", "The node holds no configuration yet.", "Use another node.";
    NodeLeaving = 1105, NotRun, 503, "node leaving", "The node is stopping and takes no new work.", "Use another node.";
    ConfigurationStale = 1106, NotRun, 503, "configuration stale", "The node cannot confirm that its configuration is still in force.", "Use a node of another zone, or ask again after the time given.";
    TableUnavailable = 1107, NotRun, 503, "table unavailable", "The table service did not settle what this request needs first.", "Ask again after the time given.";
    EngineRefused = 1108, NotRun, 503, "engine refused", "The engines that were asked refused before running the request.", "Ask again after the time given.";
    NoOwner = 1109, NotRun, 503, "no owner", "No node owns the training run now.", "Ask again after the time given.";
    RetryBudgetSpent = 1110, NotRun, 503, "retry budget spent", "A first engine did not run the request and the retry budget is spent.", "Ask again after the time given.";
    RequestQuarantined = 1111, NotRun, 503, "request quarantined", "Back ends have crashed under this request one after the other; it is kept from them.", "Do not repeat it before the time given; an operator can release it by its digest.";
    AllowedNowhere = 1112, NotRun, 503, "allowed nowhere", "Route and tenant allow no region in common: no engine may ever serve the request.", "Correct the regions in the configuration; asking again does not help before.";
    NoAllowedEngine = 1113, NotRun, 503, "no allowed engine", "No engine of the service takes work now in the regions where the request is allowed.", "Ask again after the time given; engines of other regions may be free and are not used.";
    BacklogTooLong = 1114, NotRun, 503, "backlog too long", "The open work of the batch's model takes longer than until the batch is due.", "Send the same batch again after the time given.";
    KeyInProgress = 1201, OutcomeUnknown, 409, "key in progress", "A request with this key is being run, or its outcome was lost.", "Ask again with the same key; it will not run twice.";
    EngineLost = 1202, OutcomeUnknown, 502, "engine lost", "The engine was lost after the request was sent.", "Look whether it took effect before repeating it.";
    EngineTimeout = 1203, OutcomeUnknown, 504, "engine timeout", "The engine did not answer before the deadline.", "Look whether it took effect before repeating it.";
    AnswerNotWhole = 1204, OutcomeUnknown, 502, "answer not whole", "The engine's answer was cut short or belonged to another request.", "Look whether it took effect before repeating it.";
    WriteUnknown = 1205, OutcomeUnknown, 503, "write unknown", "The table service did not say whether a write took effect.", "Repeat the call: it is idempotent by its id.";
    OwnerLost = 1206, OutcomeUnknown, 503, "owner lost", "The owner of the run was lost while it held the call.", "Repeat the call: it is idempotent by its id or cursor.";
    BatchUnconfirmed = 1207, OutcomeUnknown, 504, "batch unconfirmed", "The table did not say whether the batch was accepted.", "Send the same batch again: it is accepted once.";
    NodeStopped = 1208, OutcomeUnknown, 504, "node stopped", "The node stopped before it knew the outcome of the request.", "Look whether it took effect before repeating it.";
    AnswerTooLarge = 1301, RanAndFailed, 502, "answer too large", "The engine's answer is over the configured bound.", "Ask for less, or raise `answer_limit_bytes`.";
    CursorInvalid = 1401, NotRun, 400, "cursor invalid", "The cursor is past the last sample handed over, or before what was acknowledged.", "Pull after the last sample that was taken in.";
    VersionWentBack = 1402, NotRun, 409, "version went back", "The trainer named an older weight version than before.", "Name the trainer's present version.";
    StepClosed = 1403, NotRun, 409, "step closed", "Every sample of the step was handed over and acknowledged.", "Submit to a later step.";
    LedgerFull = 1404, NotRun, 503, "ledger full", "The run holds as many unfinished samples as its bound allows.", "Ask again after the time given.";
    SyntaxError = 2001, NotRun, 400, "syntax error", "The file is not valid TOML.", "Correct the line named.";
    UnknownField = 2002, NotRun, 400, "unknown field", "The file holds a key that has no meaning.", "Remove or correct the key.";
    WrongType = 2003, NotRun, 400, "wrong type", "A value has the wrong type, or a required key is missing.", "Correct the value.";
    OutOfBounds = 2004, NotRun, 400, "out of bounds", "A value is outside its bounds.", "Correct the value.";
    DuplicateName = 2005, NotRun, 400, "duplicate name", "Two entries have the same name.", "Rename or remove one.";
    UnknownReference = 2006, NotRun, 400, "unknown reference", "An entry names something that the file does not hold.", "Correct the name, or add what it names.";
    UnsupportedVersion = 2007, NotRun, 400, "unsupported version", "The file's format version is not known to this program.", "Use a version that the program knows.";
    FileUnreadable = 2008, NotRun, 400, "file unreadable", "The file cannot be read.", "Check the path and its permissions.";
    RevisionConflict = 2101, NotRun, 409, "revision conflict", "The configuration has changed since the revision that the apply was made from.", "Read the difference, then apply again from the present revision.";
    ZonesUnreachable = 2102, NotRun, 503, "zones unreachable", "The node is not in contact with a majority of zones, so nothing was changed.", "Apply through a node of another zone, or later.";
    ApplyUnknown = 2103, OutcomeUnknown, 503, "apply unknown", "It is not known whether the apply was accepted.", "Read it back with `sloetrail get --apply ID`.";
    ApplyWithdrawn = 2104, NotRun, 409, "apply withdrawn", "The apply was not accepted and now never will be.", "Apply again.";
    NodeUnreachable = 3001, NotRun, 503, "node unreachable", "No node could be reached.", "Check the addresses given.";
    HistoryUnreadable = 3002, NotRun, 400, "history unreadable", "The history or trace cannot be read.", "Check the line named.";
    InvariantViolated = 3003, RanAndFailed, 500, "invariant violated", "A history breaks an invariant, or leaves one unchecked.", "Read the events that are printed.";
    InternalError = 3999, RanAndFailed, 500, "internal error", "A fault inside the program.", "Report it with the log.";
}

impl ResultCode {
    pub fn number(self) -> u16 {
        self as u16
    }
}
