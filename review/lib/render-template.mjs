/** Fills in a settings template as `DEPLOY.md` describes: only `{{a.b}}` and `{{a|json}}` are used. */
export function renderTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((inner, key) => inner?.[key], fields);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });
}
