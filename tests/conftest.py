"""Settings shared by all tests."""

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.load_profile('ci')
