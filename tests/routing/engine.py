"""The specification of one engine and model, with the platform's values."""

from auburnwall.routing.routes import EngineSpec, ModelSpec

MODEL = ModelSpec("big", 4, 1.0, 0.5, 16.0, 1.6)
ENGINE = EngineSpec(
    slots=9,
    models={"big": MODEL},
    step_s=0.0078,
    step_per_request_s=0.000179,
    step_per_token_s=1.8e-8,
    prefill_per_token_s=1 / 45_900,
    prefill_per_pair_s=4.3e-10,
    tokens_per_event=5,
    loads_per_s=5.0,
    max_concurrent_loads=7,
    mean_prompt_tokens=979,
    mean_response_tokens=154,
)
